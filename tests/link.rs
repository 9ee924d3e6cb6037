//! Links between routers: answers reach their own calls, strangers reach nothing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrytally::{
    link::{LinkKey, LinkServer, Links, Serve},
    schema::link::{Ping, Pong, frame::Body},
};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

struct Echo;

impl Serve for Echo {
    async fn serve(&self, _: Body) -> Body {
        Body::Pong(Pong { name: "echo".into(), ..Pong::default() })
    }
}

async fn server(key: &str) -> (LinkServer, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (LinkServer::start(listener, LinkKey::new(key), Arc::new(Echo)), addr)
}

#[tokio::test]
async fn a_call_is_answered() {
    let (server, addr) = server("k").await;
    let links = Links::new(LinkKey::new("k"));

    let answer = links.call(addr, Body::Ping(Ping {}), TIMEOUT).await.unwrap();

    assert_eq!(answer, Body::Pong(Pong { name: "echo".into(), ..Pong::default() }));
    server.close();
}

/// A process with another key calls a router, as after a mix-up of two fleets' settings.
/// The router must not act on the call: the connection ends and the caller sees an error.
#[tokio::test]
async fn a_stranger_is_not_answered() {
    let (server, addr) = server("k").await;
    let links = Links::new(LinkKey::new("other"));

    let answer = links.call(addr, Body::Ping(Ping {}), TIMEOUT).await;

    assert!(answer.is_err());
    server.close();
}
