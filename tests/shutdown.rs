//! Routers that find each other over real sockets, hand each other out, and leave without cutting a request.

use std::{net::SocketAddr, process::Command, time::Duration};

use cranberrytally::{
    client::Client,
    config::Settings,
    serve::Running,
    standin::{
        caller::Caller,
        outside::{Outside, Plan, WORKSPACES, settings},
    },
};
use http::Method;

#[path = "support/process.rs"]
mod process;

const TOKENS: usize = 700;
const TOKEN_TIME: Duration = Duration::from_millis(10);
const CHECK: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(30);

fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Running {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let text =
        settings(name, any, any, platform, seeds) + "drain: { answer_keep_ms: 1000, longest_ms: 20000 }\n";
    Running::start(&Settings::parse(&text).unwrap()).unwrap()
}

/// Addresses that a router names to callers.
async fn named(router: SocketAddr) -> Vec<SocketAddr> {
    let url = format!("http://{router}/v1/entry");
    let Ok((200, answer)) = Client::default().json(Method::GET, &url, None, LIMIT).await else {
        return Vec::new();
    };
    let list = answer["addresses"].as_array().cloned().unwrap_or_default();
    list.iter().filter_map(|a| a.as_str()?.parse().ok()).collect()
}

async fn wait(what: &str, done: impl AsyncFn() -> bool) {
    let work = async {
        while !done().await {
            tokio::time::sleep(CHECK).await;
        }
    };
    tokio::time::timeout(LIMIT, work).await.unwrap_or_else(|_| panic!("{what} did not come about"));
}

/// An operator replaces a host while a guest's answer streams through its router. The router leaves: the others stop
/// naming it, whoever still comes is served, and the stream, which lasts longer than the entry answers, is whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_router_is_no_longer_named_and_cuts_nothing() {
    let outside = Outside::start(Plan::default().with_tokens(TOKENS, TOKEN_TIME)).await.unwrap();
    let first = start("r0", outside.platform_addr(), &[]);
    let second = start("r1", outside.platform_addr(), &[first.peer_addr()]);
    let (leaving, stays) = (first.addr(), second.addr());
    wait("a fleet of two", async || named(stays).await.len() == 2 && named(leaving).await.len() == 2).await;
    let turn = |chat: &'static str| async move {
        let mut caller = Caller::new(WORKSPACES[0], chat, vec![leaving]);
        let answer = caller.turn(1).await.unwrap();
        caller.whole(&answer, TOKENS)
    };
    let early = tokio::spawn(turn("early"));
    wait("a running request", async || first.running() > 0).await;

    let shut_down = tokio::spawn(first.shut_down());
    wait("its leaving", async || named(stays).await == [stays]).await;
    let late = tokio::spawn(turn("late"));
    let cut = shut_down.await.unwrap();

    assert_eq!(cut, 0);
    assert!(early.await.unwrap(), "the stream that ran was cut");
    assert!(late.await.unwrap(), "a caller that came with an old answer was not served");
    second.close();
    outside.close();
}

/// The host's supervisor sends SIGTERM to a router in the middle of a guest's answer. The process must end by itself,
/// well, and only after the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_process_finishes_its_answer_and_ends_well() {
    let outside = Outside::start(Plan::default().with_tokens(TOKENS, TOKEN_TIME)).await.unwrap();
    let mut router = process::Router::start("term", outside.platform_addr(), &[]);
    let addr = router.addr;
    wait("a router that names itself", async || named(addr).await == [addr]).await;
    let turn = tokio::spawn(async move {
        let mut caller = Caller::new(WORKSPACES[0], "chat", vec![addr]);
        let answer = caller.turn(1).await.unwrap();
        caller.whole(&answer, TOKENS)
    });
    wait("a running request", async || outside.engines.iter().any(|e| e.running() > 0)).await;

    let sent = Command::new("kill").args(["-TERM", &router.pid().to_string()]).status().unwrap();
    let ended = tokio::task::spawn_blocking(move || router.wait());

    assert!(sent.success());
    assert!(turn.await.unwrap(), "the answer was cut");
    assert_eq!(ended.await.unwrap(), Some(0), "the process ended badly");
    outside.close();
}

/// Guests' apps keep their connections and send one question after the other, long after the entry answer that named the
/// router has expired. A router that went on serving them would never be done, and would cut them at its time limit; it
/// must finish what runs and send them on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_router_sends_callers_with_expired_answers_on() {
    const CALLERS: [&str; 3] = ["one", "two", "three"];
    let outside = Outside::start(Plan::default().with_tokens(TOKENS, TOKEN_TIME)).await.unwrap();
    let router = start("r0", outside.platform_addr(), &[]);
    let addr = router.addr();
    wait("a configuration", async || router.gateway().catalog().has_workspace(WORKSPACES[0])).await;
    let ask_on = |chat: &'static str| async move {
        let mut caller = Caller::new(WORKSPACES[0], chat, vec![addr]);
        loop {
            match caller.turn(1).await {
                Ok(answer) => assert!(caller.whole(&answer, TOKENS), "{answer:?}"),
                Err(e) => return e.to_string(),
            }
        }
    };
    let callers = CALLERS.map(|chat| tokio::spawn(ask_on(chat)));
    wait("a running request", async || router.running() > 0).await;

    let cut = router.shut_down().await;

    assert_eq!(cut, 0);
    for caller in callers {
        let last = caller.await.unwrap();
        assert!(last.contains("503") && last.contains("leaving") && last.contains("not-run"), "{last}");
    }
    outside.close();
}
