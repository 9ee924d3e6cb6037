//! Answers of a backend server that come once more, where the next answer on their connection is due.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use cranberrytally::{relay::follow::BackendsUpdate, schema::fleet::Backends};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use wire::{Host, ScriptStep, Server, header, ok, read_request, request, status};

/// Identifier of the server.
const SERVER: &str = "i-1";

/// A server that refuses its first request and sends the refusal once more where the next answer on the connection is due. It runs
/// all other requests.
#[derive(Clone)]
struct RepeatingServer {
    /// The refusal; `{id}` stands for the identifier of the request.
    refusal: &'static str,
    addr: SocketAddr,
    /// Identifiers of the requests that ran.
    runs: Arc<Mutex<Vec<String>>>,
    has_refused: Arc<Mutex<bool>>,
    connections: Arc<Mutex<usize>>,
}

impl RepeatingServer {
    async fn start(refusal: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            refusal,
            addr: listener.local_addr().unwrap(),
            runs: Arc::default(),
            has_refused: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *accepting.connections.lock().unwrap() += 1;
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut extra = String::new();
        while let Some(request) = read_request(&mut stream).await {
            let id = header(&request, "attempt-id").unwrap();
            let is_first = !std::mem::replace(&mut *self.has_refused.lock().unwrap(), true);
            let answer = if is_first { self.refusal.to_owned() } else { ok("done") }.replace("{id}", &id);
            if !is_first {
                self.runs.lock().unwrap().push(id);
            }
            let text = std::mem::take(&mut extra) + &answer;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            if is_first {
                extra = answer;
            }
        }
    }

    async fn host(&self) -> Host {
        let host = Host::without_configuration().await;
        host.relay.set_configuration(wire::configuration(), "test");
        let items = vec![wire::backend(SERVER, self.addr)];
        let list = Backends { revision: 1, items, ..Backends::default() };
        host.relay.update_backends(BackendsUpdate::List(list), None, "test");
        host
    }

    fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }
}

/// A refusal that names the request.
const NAMED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// A refusal that names none.
const UNNAMED: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Guards against a request that runs twice, because a refusal of its first sending is taken for the answer to the second.
#[tokio::test]
async fn a_refusal_proves_nothing_about_a_later_sending_of_its_request() {
    let server = RepeatingServer::start(NAMED).await;
    let host = server.host().await;

    let answer = host.call(&request("/unsafe/x", "")).await;

    assert_eq!((status(&answer), server.runs()), (200, vec!["r1".to_owned()]), "{answer}");
    assert_eq!(*server.connections.lock().unwrap(), 2);
}

/// Guards against a request that runs twice, because the refusal of an earlier one, which names no request, is taken for its answer.
#[tokio::test]
async fn a_refusal_without_a_name_proves_nothing_about_a_later_request() {
    let server = RepeatingServer::start(UNNAMED).await;
    let host = server.host().await;

    let first = host.call(&request("/unsafe/x", "")).await;
    let second = host.call(&request("/unsafe/x", "").replace("r1", "r2")).await;

    assert_eq!((status(&first), status(&second)), (200, 200), "{first} {second}");
    assert_eq!(server.runs(), ["r1", "r2"]);
}

/// Guards against connections that are given up wholesale: one with an answer that names no request carries those that may run
/// more than once, and after the answer to one of them all requests.
#[tokio::test]
async fn a_connection_is_used_on_after_a_refusal_without_a_name() {
    let steps = [ScriptStep::Write(UNNAMED.into()), ScriptStep::Write(ok("done"))];
    let server = Server::start(SERVER, steps).await;
    let host = Host::with_servers(&[&server]).await;
    let of = |path: &str, id: &str| request(path, "").replace("r1", id);

    let first = host.call(&of("/unsafe/x", "r1")).await;
    let (second, third) = (host.call(&of("/safe/x", "r2")).await, host.call(&of("/unsafe/x", "r3")).await);

    assert_eq!([&first, &second, &third].map(|answer| status(answer)), [200; 3], "{first} {second} {third}");
    assert_eq!(server.connections(), 2);
}

/// Guards against a request that is refused as not run, and a server that is given up, paused or taken for leaving, because of the
/// answer to another request.
#[tokio::test]
async fn an_answer_that_names_another_request_says_nothing_of_its_server() {
    let lines = [
        "421 Misdirected Request\r\n",
        "503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 60\r\n",
        "503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n",
    ];
    for line in lines {
        let other = format!("HTTP/1.1 {line}Attempt-Id: r0\r\nContent-Length: 0\r\n\r\n");
        let steps = [ScriptStep::Write(other + &ok("done")), ScriptStep::Write(ok("done"))];
        let server = Server::start(SERVER, steps).await;
        let host = Host::with_servers(&[&server]).await;

        let first = host.call(&request("/unsafe/x", "")).await;
        let second = host.call(&request("/unsafe/x", "").replace("r1", "r2")).await;

        assert_eq!((status(&first), status(&second)), (502, 200), "{line}: {first} {second}");
    }
}
