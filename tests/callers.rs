//! Every curl example of docs/CALLERS.md, performed in the page's order against one router and stand-ins.
//!
//! An example is a `sh` fence with one curl command; the `http` fence after it is the answer that the page promises:
//! the status, headers, an empty line, and parts of the body. `...` stands for any value, and `$NAME` keeps the value
//! for later examples.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberrytally::{
    client::Client,
    config::Settings,
    serve::Running,
    standin::outside::{StandinConfig, Standins, WORKSPACES, loopback_listener, settings},
};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};

const READY_TIME: Duration = Duration::from_secs(20);
/// Fewer mean that the page's fences are no longer found.
const LEAST_EXAMPLES: usize = 12;

type Kept = BTreeMap<String, String>;

struct Example {
    line: usize,
    command: String,
    promise: String,
}

#[derive(Debug, Default)]
struct Curl {
    method: Option<String>,
    url: String,
    headers: Vec<(String, String)>,
    body: String,
}

#[derive(Debug)]
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: String,
}

/// The fences of a page with their language and line.
fn fences(page: &str) -> Vec<(&str, usize, String)> {
    let mut found = Vec::new();
    let mut open: Option<(&str, usize, String)> = None;
    for (i, line) in page.lines().enumerate() {
        match (&mut open, line.strip_prefix("```")) {
            (None, Some(language)) => open = Some((language, i + 1, String::new())),
            (Some(_), Some(_)) => found.extend(open.take()),
            (Some((_, _, text)), None) => *text += &format!("{line}\n"),
            (None, None) => {}
        }
    }
    assert!(open.is_none(), "a fence is not closed");
    found
}

fn examples(page: &str) -> Vec<Example> {
    let mut examples: Vec<Example> = Vec::new();
    for (language, line, text) in fences(page) {
        match language {
            "sh" => examples.push(Example { line, command: text, promise: String::new() }),
            "http" => examples.last_mut().expect("a promise stands before any example").promise = text,
            _ => {}
        }
    }
    examples
}

/// The words of a command; quotes group, `$NAME` is filled in except between single quotes.
fn words(command: &str, kept: &Kept) -> Vec<String> {
    let command = command.replace("\\\n", " ");
    let (mut words, mut word, mut quote) = (Vec::new(), None::<String>, None);
    let mut chars = command.chars().peekable();
    while let Some(c) = chars.next() {
        match (quote, c) {
            (Some(q), c) if c == q => quote = None,
            (None, '\'' | '"') => {
                quote = Some(c);
                word.get_or_insert_default();
            }
            (None | Some('"'), '$') => {
                let mut name = String::new();
                while let Some(c) = chars.next_if(|c| c.is_ascii_uppercase() || *c == '_') {
                    name.push(c);
                }
                let value = kept.get(&name).unwrap_or_else(|| panic!("${name} has no value yet"));
                word.get_or_insert_default().push_str(value);
            }
            (None, c) if c.is_whitespace() => words.extend(word.take()),
            (_, c) => word.get_or_insert_default().push(c),
        }
    }
    words.extend(word);
    words
}

fn parse(words: Vec<String>) -> Curl {
    let mut curl = Curl::default();
    let mut words = words.into_iter();
    assert_eq!(words.next().as_deref(), Some("curl"));
    while let Some(word) = words.next() {
        let mut value = || words.next().unwrap_or_else(|| panic!("{word} has no value"));
        match word.as_str() {
            "-i" | "-N" => {}
            "-X" => curl.method = Some(value()),
            "-d" => curl.body = value(),
            "-H" => {
                let header = value();
                let (name, value) = header.split_once(':').expect("a header without a colon");
                curl.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            url if url.starts_with("http://") && curl.url.is_empty() => curl.url = url.to_owned(),
            other => panic!("the test does not know {other:?}"),
        }
    }
    curl
}

async fn perform(client: &Client, curl: Curl) -> Answer {
    let usual = if curl.body.is_empty() { "GET" } else { "POST" };
    let req = Request::builder().method(curl.method.as_deref().unwrap_or(usual)).uri(&curl.url);
    let req = curl.headers.iter().fold(req, |req, (name, value)| req.header(name, value));
    let res = client.send(req.body(Full::new(Bytes::from(curl.body))).unwrap()).await.unwrap();
    let (head, body) = res.into_parts();
    let body = body.collect().await.expect("the answer was cut").to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer { status: head.status.as_u16(), headers: head.headers, body }
}

/// Whether a value is as promised; keeps it where the promise names it.
fn fits(promised: &str, value: &str, kept: &mut Kept) -> bool {
    if let Some(name) = promised.strip_prefix('$') {
        kept.insert(name.to_owned(), value.to_owned());
    }
    match promised.starts_with('$') || promised == "..." {
        true => !value.is_empty(),
        false => promised == value,
    }
}

fn check(example: &Example, answer: &Answer, kept: &mut Kept) {
    let (head, body) = example.promise.split_once("\n\n").unwrap_or((&example.promise, ""));
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_else(|| panic!("line {}: nothing is promised", example.line));
    assert_eq!(status, answer.status.to_string(), "line {}: {answer:?}", example.line);
    for line in lines {
        let (name, promised) = line.split_once(": ").expect("a promised header without a value");
        let value = answer.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
        assert!(fits(promised, value, kept), "line {}: {name} is {value:?}: {answer:?}", example.line);
    }
    if body.starts_with('{') {
        check_json(example, body, &answer.body, kept);
    } else {
        check_lines(example, body, &answer.body, kept);
    }
}

/// Every promised key has its value.
fn check_json(example: &Example, promise: &str, body: &str, kept: &mut Kept) {
    let promise: serde_json::Value = serde_json::from_str(promise).unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    let mut left = vec![(&promise, &body)];
    while let Some((promised, value)) = left.pop() {
        match promised {
            serde_json::Value::Object(map) => left.extend(map.iter().map(|(key, p)| (p, &value[key]))),
            serde_json::Value::Array(list) => {
                assert_eq!(value.as_array().map(Vec::len), Some(list.len()), "line {}: {body}", example.line);
                left.extend(list.iter().enumerate().map(|(i, p)| (p, &value[i])));
            }
            serde_json::Value::String(text) => {
                let fits = fits(text, value.as_str().unwrap_or(""), kept);
                assert!(fits, "line {}: {text:?} is not in {body}", example.line);
            }
            other => assert_eq!(other, value, "line {}: {body}", example.line),
        }
    }
}

/// Every promised line is there; `...` stands for lines in between.
fn check_lines(example: &Example, promise: &str, body: &str, kept: &mut Kept) {
    for promised in promise.lines().filter(|l| !l.is_empty() && *l != "...") {
        let (prefix, rest) = match promised.find(['$']).or_else(|| promised.find("...")) {
            Some(at) => promised.split_at(at),
            None => (promised, ""),
        };
        let found = body.lines().find_map(|l| l.strip_prefix(prefix));
        let found = found.unwrap_or_else(|| panic!("line {}: no {promised:?} in {body}", example.line));
        assert!(fits(rest, found, kept), "line {}: {promised:?} is not in {body}", example.line);
    }
}

fn router(outside: &Standins) -> Running {
    let listener = loopback_listener().unwrap();
    let peer: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let text = settings("router-0", listener.local_addr().unwrap(), peer, outside.platform_addr(), &[]);
    Running::start_on(&Settings::parse(&text).unwrap(), listener).unwrap()
}

async fn ready(router: &Running) {
    let waiting = async {
        while !router.gateway().catalog().has_workspace(WORKSPACES[2]) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIME, waiting).await.unwrap();
}

#[tokio::test]
async fn every_example_gets_the_answer_that_the_page_promises() {
    let page = std::fs::read_to_string("docs/CALLERS.md").unwrap();
    let outside = Standins::start(StandinConfig::default().with_engines(2)).await.unwrap();
    let router = router(&outside);
    ready(&router).await;
    let mut kept = Kept::from([("ROUTER".to_owned(), router.addr().to_string())]);
    let examples = examples(&page);
    let client = Client::default();

    for example in &examples {
        let curl = parse(words(&example.command, &kept));
        let answer = perform(&client, curl).await;

        check(example, &answer, &mut kept);
    }

    assert!(examples.len() >= LEAST_EXAMPLES, "{} examples were found", examples.len());
    router.close();
    outside.close();
}

#[test]
fn the_page_names_every_header_that_the_request_path_knows() {
    let page = std::fs::read_to_string("docs/CALLERS.md").unwrap();
    let sources = ["ask.rs", "chat.rs", "relay.rs", "resume.rs", "claim/call.rs", "../gateway.rs"];
    let quoted =
        |text: &str| text.split('"').filter(|w| w.starts_with("x-")).map(str::to_owned).collect::<Vec<_>>();

    for name in sources {
        let source = std::fs::read_to_string(format!("src/gateway/{name}")).unwrap();
        for header in quoted(&source) {
            assert!(page.contains(&format!("`{header}`")), "docs/CALLERS.md does not name {header}");
        }
    }
}
