//! Runs all curl examples of docs/CALLERS.md in order against one router and simulated backend servers.
//!
//! An example is a `sh` code block with one curl command. The `http` code block after it is the expected response: the
//! status, headers, an empty line, and parts of the body. `...` matches any value, and `$NAME` matches any value and
//! saves it for later examples.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberrytally::{
    client::Client,
    config::Settings,
    serve::RunningRouter,
    standin::outside::{StandinConfig, Standins, WORKSPACES, loopback_listener, settings},
};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Fewer examples mean that the page's code blocks are no longer recognised.
const MIN_EXAMPLES: usize = 12;

type Variables = BTreeMap<String, String>;

struct Example {
    line: usize,
    command: String,
    expected: String,
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

/// Code blocks of a page, with language and line number.
fn code_blocks(page: &str) -> Vec<(&str, usize, String)> {
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
    assert!(open.is_none(), "a code block is not closed");
    found
}

fn examples(page: &str) -> Vec<Example> {
    let mut examples: Vec<Example> = Vec::new();
    for (language, line, text) in code_blocks(page) {
        match language {
            "sh" => examples.push(Example { line, command: text, expected: String::new() }),
            "http" => {
                examples.last_mut().expect("an expected response comes before any example").expected = text
            }
            _ => {}
        }
    }
    examples
}

/// Splits a shell command into words. Handles quotes, and replaces `$NAME` except in single quotes.
fn words(command: &str, vars: &Variables) -> Vec<String> {
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
                let value = vars.get(&name).unwrap_or_else(|| panic!("${name} has no value yet"));
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
            other => panic!("unsupported curl argument {other:?}"),
        }
    }
    curl
}

async fn perform(client: &Client, curl: Curl) -> Answer {
    let default_method = if curl.body.is_empty() { "GET" } else { "POST" };
    let req = Request::builder().method(curl.method.as_deref().unwrap_or(default_method)).uri(&curl.url);
    let req = curl.headers.iter().fold(req, |req, (name, value)| req.header(name, value));
    let res = client.send(req.body(Full::new(Bytes::from(curl.body))).unwrap()).await.unwrap();
    let (head, body) = res.into_parts();
    let body = body.collect().await.expect("the response was cut").to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer { status: head.status.as_u16(), headers: head.headers, body }
}

/// Whether a value matches the expected one; saves it if the expected one is a variable.
fn matches_expected(expected_value: &str, value: &str, vars: &mut Variables) -> bool {
    if let Some(name) = expected_value.strip_prefix('$') {
        vars.insert(name.to_owned(), value.to_owned());
    }
    match expected_value.starts_with('$') || expected_value == "..." {
        true => !value.is_empty(),
        false => expected_value == value,
    }
}

fn check_answer(example: &Example, answer: &Answer, vars: &mut Variables) {
    let (head, body) = example.expected.split_once("\n\n").unwrap_or((&example.expected, ""));
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_else(|| panic!("line {}: no response is expected", example.line));
    assert_eq!(status, answer.status.to_string(), "line {}: {answer:?}", example.line);
    for line in lines {
        let (name, expected_value) = line.split_once(": ").expect("an expected header without a value");
        let value = answer.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
        assert!(
            matches_expected(expected_value, value, vars),
            "line {}: {name} is {value:?}: {answer:?}",
            example.line
        );
    }
    if body.starts_with('{') {
        check_json(example, body, &answer.body, vars);
    } else {
        check_lines(example, body, &answer.body, vars);
    }
}

/// Checks that every expected key has its value.
fn check_json(example: &Example, expected: &str, body: &str, vars: &mut Variables) {
    let expected: serde_json::Value = serde_json::from_str(expected).unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    let mut left = vec![(&expected, &body)];
    while let Some((expected_value, value)) = left.pop() {
        match expected_value {
            serde_json::Value::Object(map) => left.extend(map.iter().map(|(key, p)| (p, &value[key]))),
            serde_json::Value::Array(list) => {
                assert_eq!(value.as_array().map(Vec::len), Some(list.len()), "line {}: {body}", example.line);
                left.extend(list.iter().enumerate().map(|(i, p)| (p, &value[i])));
            }
            serde_json::Value::String(text) => {
                let matches_expected = matches_expected(text, value.as_str().unwrap_or(""), vars);
                assert!(matches_expected, "line {}: {text:?} is not in {body}", example.line);
            }
            other => assert_eq!(other, value, "line {}: {body}", example.line),
        }
    }
}

/// Checks that every expected line occurs; `...` stands for lines in between.
fn check_lines(example: &Example, expected: &str, body: &str, vars: &mut Variables) {
    for expected_line in expected.lines().filter(|l| !l.is_empty() && *l != "...") {
        let (prefix, rest) = match expected_line.find(['$']).or_else(|| expected_line.find("...")) {
            Some(at) => expected_line.split_at(at),
            None => (expected_line, ""),
        };
        let found = body.lines().find_map(|l| l.strip_prefix(prefix));
        let found = found.unwrap_or_else(|| panic!("line {}: no {expected_line:?} in {body}", example.line));
        assert!(
            matches_expected(rest, found, vars),
            "line {}: {expected_line:?} is not in {body}",
            example.line
        );
    }
}

fn router(outside: &Standins) -> RunningRouter {
    let listener = loopback_listener().unwrap();
    let peer: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let text = settings("router-0", listener.local_addr().unwrap(), peer, outside.platform_addr(), &[]);
    RunningRouter::start_on(&Settings::parse(&text).unwrap(), listener).unwrap()
}

async fn ready(router: &RunningRouter) {
    let waiting = async {
        while !router.gateway().catalog().has_workspace(WORKSPACES[2]) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, waiting).await.unwrap();
}

#[tokio::test]
async fn every_example_gets_the_documented_response() {
    let page = std::fs::read_to_string("docs/CALLERS.md").unwrap();
    let outside = Standins::start(StandinConfig::default().with_engines(2)).await.unwrap();
    let router = router(&outside);
    ready(&router).await;
    let mut vars = Variables::from([("ROUTER".to_owned(), router.addr().to_string())]);
    let examples = examples(&page);
    let client = Client::default();

    for example in &examples {
        let curl = parse(words(&example.command, &vars));
        let answer = perform(&client, curl).await;

        check_answer(example, &answer, &mut vars);
    }

    assert!(examples.len() >= MIN_EXAMPLES, "{} examples were found", examples.len());
    router.close();
    outside.close();
}

#[test]
fn the_page_documents_every_header_of_the_gateway() {
    let page = std::fs::read_to_string("docs/CALLERS.md").unwrap();
    let sources = ["request.rs", "chat.rs", "relay.rs", "resume.rs", "claim/call.rs", "../gateway.rs"];
    let quoted =
        |text: &str| text.split('"').filter(|w| w.starts_with("x-")).map(str::to_owned).collect::<Vec<_>>();

    for name in sources {
        let source = std::fs::read_to_string(format!("src/gateway/{name}")).unwrap();
        for header in quoted(&source) {
            assert!(page.contains(&format!("`{header}`")), "docs/CALLERS.md does not mention {header}");
        }
    }
}
