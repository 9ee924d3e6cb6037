//! Routers in one fleet over real sockets shut down without cutting a request.

use std::{net::SocketAddr, process::Command, time::Duration};

use cranberrytally::{
    client::Client,
    config::Settings,
    serve::RunningRouter,
    standin::{
        caller::Caller,
        outside::{StandinConfig, Standins, WORKSPACES, settings},
    },
};
use http::Method;

#[path = "support/process.rs"]
mod process;

const TOKENS: usize = 700;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> RunningRouter {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let text =
        settings(name, any, any, platform, seeds) + "drain: { answer_keep_ms: 1000, longest_ms: 20000 }\n";
    RunningRouter::start(&Settings::parse(&text).unwrap()).unwrap()
}

/// Addresses in a router's entry answer.
async fn entry_addresses(router: SocketAddr) -> Vec<SocketAddr> {
    let url = format!("http://{router}/v1/entry");
    let Ok((200, answer)) = Client::default().json(Method::GET, &url, None, TEST_TIMEOUT).await else {
        return Vec::new();
    };
    let list = answer["addresses"].as_array().cloned().unwrap_or_default();
    list.iter().filter_map(|a| a.as_str()?.parse().ok()).collect()
}

async fn wait_for(what: &str, done: impl AsyncFn() -> bool) {
    let work = async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, work).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// A router shuts down while a response streams through it. The other router must stop naming it in entry answers,
/// callers that still come must be served, and the stream, which lasts longer than entry answers are valid, must
/// complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_router_is_not_advertised_and_cuts_no_request() {
    let outside =
        Standins::start(StandinConfig::default().with_tokens(TOKENS, TOKEN_INTERVAL)).await.unwrap();
    let first = start("r0", outside.platform_addr(), &[]);
    let second = start("r1", outside.platform_addr(), &[first.peer_addr()]);
    let (leaving, stays) = (first.addr(), second.addr());
    wait_for("a fleet of two", async || {
        entry_addresses(stays).await.len() == 2 && entry_addresses(leaving).await.len() == 2
    })
    .await;
    let turn = |chat: &'static str| async move {
        let mut caller = Caller::new(WORKSPACES[0], chat, vec![leaving]);
        let answer = caller.send_turn(1).await.unwrap();
        caller.is_complete(&answer, TOKENS)
    };
    let early = tokio::spawn(turn("early"));
    wait_for("a running request", async || first.running() > 0).await;

    let shut_down = tokio::spawn(first.shut_down());
    wait_for("an entry answer without the leaving router", async || entry_addresses(stays).await == [stays])
        .await;
    let late = tokio::spawn(turn("late"));
    let cut = shut_down.await.unwrap();

    assert_eq!(cut, 0);
    assert!(early.await.unwrap(), "the running stream was cut");
    assert!(late.await.unwrap(), "a caller with an old entry answer was not served");
    second.close();
    outside.close();
}

/// A router receives SIGTERM while a response streams through it. The process must exit by itself with code 0, and only
/// after the response has completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_process_completes_its_response_and_exits_with_code_0() {
    let outside =
        Standins::start(StandinConfig::default().with_tokens(TOKENS, TOKEN_INTERVAL)).await.unwrap();
    let mut router = process::Router::start("term", outside.platform_addr(), &[]);
    let addr = router.addr;
    wait_for("a router that names itself", async || entry_addresses(addr).await == [addr]).await;
    let turn = tokio::spawn(async move {
        let mut caller = Caller::new(WORKSPACES[0], "chat", vec![addr]);
        let answer = caller.send_turn(1).await.unwrap();
        caller.is_complete(&answer, TOKENS)
    });
    wait_for("a running request", async || outside.engines.iter().any(|e| e.running() > 0)).await;

    let sent = Command::new("kill").args(["-TERM", &router.pid().to_string()]).status().unwrap();
    let ended = tokio::task::spawn_blocking(move || router.wait());

    assert!(sent.success());
    assert!(turn.await.unwrap(), "the response was cut");
    assert_eq!(ended.await.unwrap(), Some(0), "unexpected exit code");
    outside.close();
}

/// Callers reuse their connections and send one request after the other, long after the entry answer that named the
/// router has expired. A router that kept serving them would never become idle and would cut them at its deadline; it
/// must complete the running requests and refuse new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_router_refuses_callers_with_expired_entry_answers() {
    const CALLERS: [&str; 3] = ["one", "two", "three"];
    let outside =
        Standins::start(StandinConfig::default().with_tokens(TOKENS, TOKEN_INTERVAL)).await.unwrap();
    let router = start("r0", outside.platform_addr(), &[]);
    let addr = router.addr();
    wait_for("a configuration", async || router.gateway().catalog().has_workspace(WORKSPACES[0])).await;
    let ask_on = |chat: &'static str| async move {
        let mut caller = Caller::new(WORKSPACES[0], chat, vec![addr]);
        loop {
            match caller.send_turn(1).await {
                Ok(answer) => assert!(caller.is_complete(&answer, TOKENS), "{answer:?}"),
                Err(e) => return e.to_string(),
            }
        }
    };
    let callers = CALLERS.map(|chat| tokio::spawn(ask_on(chat)));
    wait_for("a running request", async || router.running() > 0).await;

    let cut = router.shut_down().await;

    assert_eq!(cut, 0);
    for caller in callers {
        let last = caller.await.unwrap();
        assert!(last.contains("503") && last.contains("leaving") && last.contains("not-run"), "{last}");
    }
    outside.close();
}
