//! Options of the sockets on which calls wait long for their answer.

use std::time::Duration;

use cranberrytally::relay::pool;
use rustix::net::sockopt;
use tokio::net::TcpListener;

/// Guards against a waiting call that is lost with a single probe: a timeout for unacknowledged bytes that is shorter than all
/// probes take ends the connection with the first of them.
#[tokio::test]
async fn a_lost_probe_does_not_end_a_waiting_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();

    let stream =
        pool::connect_with_probes(listener.local_addr().unwrap(), Duration::from_secs(1)).await.unwrap();

    let probes = sockopt::tcp_keepcnt(&stream).unwrap();
    let interval = sockopt::tcp_keepintvl(&stream).unwrap();
    let until_last_probe = sockopt::tcp_keepidle(&stream).unwrap() + interval * (probes - 1);
    let timeout = Duration::from_millis(sockopt::tcp_user_timeout(&stream).unwrap().into());
    assert!(probes >= 2 && timeout > until_last_probe, "{probes} probes, {timeout:?}, {until_last_probe:?}");
}
