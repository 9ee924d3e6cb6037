//! Requests that are refused early, by their method, path or body.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Command, Stdio},
    time::Duration,
};

use cranberrytally::{
    client::Client,
    config::Settings,
    metrics::Counter,
    serve::RunningRouter,
    standin::outside::{StandinConfig, Standins, loopback_listener, settings},
};

const READY_TIME: Duration = Duration::from_secs(20);

async fn router(outside: &Standins) -> RunningRouter {
    let listener = loopback_listener().unwrap();
    let peer: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let text = settings("router-0", listener.local_addr().unwrap(), peer, outside.platform_addr(), &[]);
    let router = RunningRouter::start_on(&Settings::parse(&text).unwrap(), listener).unwrap();
    let waiting = async {
        while router.gateway().catalog().version == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIME, waiting).await.unwrap();
    router
}

/// Sends a save with these headers and no body; returns the whole answer.
async fn send_save(addr: SocketAddr, headers: &str) -> String {
    let head = format!(
        "POST /services/lessons/progress HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-workspace: phrasebook\r\n{headers}\r\n"
    );
    let talk = move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(READY_TIME)).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::task::spawn_blocking(talk).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_path_refuses_a_wrong_method() {
    let outside = Standins::start(StandinConfig::default().with_engines(1)).await.unwrap();
    let router = router(&outside).await;
    let table = [
        ("POST", "/v1/entry"),
        ("POST", "/v1/key-ticket"),
        ("DELETE", "/v1/resume"),
        ("GET", "/v1/chat/completions"),
        ("PUT", "/healthz"),
        ("DELETE", "/readyz"),
        ("POST", "/metrics"),
        ("POST", "/v1/status"),
        ("GET", "/v1/drain"),
    ];

    for (method, path) in table {
        let url = format!("http://{}{path}", router.addr());
        let method = method.parse().unwrap();
        let (status, body) = Client::default().json(method, &url, None, READY_TIME).await.unwrap();

        let code = body["error"]["code"].as_str();
        assert_eq!((status, code), (405, Some("method_not_allowed")), "{url}");
    }
    router.close();
    outside.close();
}

/// An app joins its base URL and a path with one slash too many. The call must not reach a service that its path does
/// not name, which would bypass other components that read the path.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_path_names_its_service_once() {
    let outside = Standins::start(StandinConfig::default().with_engines(1)).await.unwrap();
    let router = router(&outside).await;
    for path in
        ["/services//services/lessons/cards", "/services/services/lessons/cards", "/services//lessons/cards"]
    {
        let url = format!("http://{}{path}", router.addr());

        let (status, body) =
            Client::default().json("GET".parse().unwrap(), &url, None, READY_TIME).await.unwrap();

        let code = body["error"]["code"].as_str();
        assert_eq!((status, code), (404, Some("unknown_service")), "{path}");
    }
    router.close();
    outside.close();
}

/// A caller reports a refusal by its request identifier. The log must contain it with the reason and the workspace,
/// not only the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_is_found_in_the_log_by_its_identifier() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let text = settings("logged", any, any, nowhere, &[]) + "log: { level: debug, format: json }\n";
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("logged-{}.yaml", std::process::id()));
    fs::write(&file, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
        .args(["serve", "-c", file.to_str().unwrap()])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let addr = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap();

    let answer = send_save(addr, "content-length: 0\r\n").await;
    let id = answer.split_once("x-request-id: ").and_then(|(_, rest)| rest.lines().next()).unwrap();
    child.kill().unwrap();
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    child.wait().unwrap();

    let line = log.lines().find(|l| l.contains(id)).unwrap_or_else(|| panic!("{id} is not in {log}"));
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!(line["kv"]["request"], id, "{line}");
    assert_eq!(line["kv"]["code"], "not_ready", "{line}");
    assert_eq!(line["kv"]["workspace"], "phrasebook", "{line}");
}

/// A save ran but its answer was lost, and the app repeats it under the same idempotency key with a body that is
/// refused. The answer must not be "not-run", which the app would take for the outcome of the save. The refusal must
/// be counted. This fails if the body is refused before the gateway reads the key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_body_is_counted_and_has_the_known_outcome() {
    let outside = Standins::start(StandinConfig::default().with_engines(1)).await.unwrap();
    let router = router(&outside).await;
    let chunked = "transfer-encoding: chunked\r\n";
    let large = "content-length: 99999999\r\n";
    let (key, first) = ("idempotency-key: save-1\r\n", "x-first-attempt: true\r\n");
    let table = [
        ("411", "length_required", chunked.to_owned(), "not-run"),
        ("411", "length_required", format!("{chunked}{key}"), "unknown"),
        ("411", "length_required", format!("{chunked}{key}{first}"), "not-run"),
        ("413", "body_too_large", format!("{large}{key}"), "unknown"),
    ];

    for (status, code, headers, outcome) in &table {
        let answer = send_save(router.addr(), headers).await;

        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{headers:?}: {answer}");
        assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{headers:?}: {answer}");
        assert!(answer.contains(&format!("x-outcome: {outcome}\r\n")), "{headers:?}: {answer}");
        assert!(answer.contains("x-request-id: "), "{headers:?}: {answer}");
    }
    let refusals = router.metrics().totals(Counter::Refusals);

    assert_eq!(refusals.get("length_required"), Some(&3), "{refusals:?}");
    assert_eq!(refusals.get("body_too_large"), Some(&1), "{refusals:?}");
    router.close();
    outside.close();
}
