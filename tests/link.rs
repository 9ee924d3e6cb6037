//! Links between routers: responses reach their calls, and processes with another key are rejected.

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
async fn a_call_gets_its_response() {
    let (server, addr) = server("k").await;
    let links = Links::new(LinkKey::new("k"));

    let answer = links.call(addr, Body::Ping(Ping {}), TIMEOUT).await.unwrap();

    assert_eq!(answer, Body::Pong(Pong { name: "echo".into(), ..Pong::default() }));
    server.close();
}

/// A process with another key calls a router, for example after the settings of two fleets were mixed up. The router
/// must not handle the call: the connection closes and the caller gets an error.
#[tokio::test]
async fn a_process_with_another_key_is_rejected() {
    let (server, addr) = server("k").await;
    let links = Links::new(LinkKey::new("other"));

    let answer = links.call(addr, Body::Ping(Ping {}), TIMEOUT).await;

    assert!(answer.is_err());
    server.close();
}
