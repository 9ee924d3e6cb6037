//! Backend servers that send bytes without end, over sockets and the platform's wire format.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use cranberrytally::{
    metrics::Counter,
    relay::head_limit::{HeadCounter, HeadLimited, HeadTooLong, MAX_HEAD_BYTES},
};
use tokio::io::AsyncReadExt;
use wire::{Host, ScriptStep, Server, ok, request, status};

/// Server that sends these bytes again and again after the first ones.
async fn endless(first: impl Into<String>, unit: &'static str) -> Server {
    Server::start("i-1", [ScriptStep::WriteWithoutEnd(first.into(), unit)]).await
}

/// Guards against informational answers without end, which hyper skips until the deadline, and header lines without end.
#[tokio::test]
async fn what_precedes_an_answer_is_bounded() {
    let cases = [("", "HTTP/1.1 103 Early Hints\r\n\r\n"), ("HTTP/1.1 200 OK\r\n", "A: b\r\n"), ("", "x")];
    for (first, unit) in cases {
        let (server, other) = (endless(first, unit).await, Server::start("i-2", answering()).await);
        let host = Host::with_servers(&[&server, &other]).await;

        let refused = host.call(&request("/unsafe/x", "body")).await;
        let repeated = host.call(&request("/safe/x", "body")).await;

        assert_eq!((status(&refused), status(&repeated)), (502, 200), "{unit}: {refused}{repeated}");
        wire::wait_until("the connection to be closed", || server.closed_connections() > 0).await;
    }
}

fn answering() -> [ScriptStep; 1] {
    [ScriptStep::Write(ok("fine"))]
}

/// Guards against a limit that ends an answer whose head is short and whose body is long.
#[tokio::test]
async fn a_body_does_not_count_as_the_head() {
    let body = "x".repeat(4 * MAX_HEAD_BYTES);
    let server = Server::start("i-1", [ScriptStep::Write(ok(&body))]).await;
    let host = Host::with_servers(&[&server]).await;

    for _ in 0..3 {
        let answer = host.call(&request("/unsafe/x", "")).await;

        assert_eq!(status(&answer), 200);
        assert!(answer.ends_with(&body));
    }
    assert_eq!(host.relay.metrics().totals(Counter::RelayRetries), Default::default());
}

/// Guards against a limit that is exceeded by more than one read, or that counts what is read after the head.
#[tokio::test]
async fn reads_fail_once_the_limit_is_reached() {
    const READ_BYTES: usize = 1_000;
    let counter = HeadCounter::default();
    let mut conn =
        HeadLimited::new(tokio::io::join(tokio::io::repeat(b'x'), tokio::io::sink()), counter.clone());
    let mut buf = [0; READ_BYTES];

    let mut read = Vec::new();
    for _ in 0..2 {
        counter.begin();
        let mut bytes = 0;
        let e = loop {
            match conn.read(&mut buf).await {
                Ok(n) => bytes += n,
                Err(e) => break e,
            }
        };
        assert!(e.get_ref().unwrap().is::<HeadTooLong>());
        read.push(bytes);
    }
    counter.end();
    let after_head = conn.read(&mut buf).await.unwrap();

    assert!(read.iter().all(|n| (MAX_HEAD_BYTES..MAX_HEAD_BYTES + READ_BYTES).contains(n)), "{read:?}");
    assert_eq!(after_head, READ_BYTES);
}
