//! Answers of backend servers that end at any byte of their head or body.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wire::{
    Host, ScriptStep, Server, answer, chunk, event, is_complete, not_run, ok, request, status, stream_head,
    wait_until,
};

/// Identifier of the request whose answer ends early.
const REQUEST: &str = "r2";
/// Informational answer before the final one.
const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const END_OF_CHUNKS: &str = "0\r\n\r\n";
const TRAILERS: &str = "0\r\nX-Trailer: 1\r\nX-Later: 2\r\n\r\n";

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// An answer that is cut.
#[derive(Clone, Debug)]
struct Whole {
    name: &'static str,
    path: &'static str,
    /// Informational answers and the head.
    head: String,
    body: String,
    /// Whether it has neither a length nor chunks.
    ends_with_connection: bool,
}

impl Whole {
    fn new(name: &'static str, path: &'static str, head: String, body: String) -> Self {
        let head = head.replace("{id}", REQUEST);
        Self { name, path, head, body, ends_with_connection: false }
    }

    fn ends_with_connection(self) -> Self {
        Self { ends_with_connection: true, ..self }
    }

    /// What the server writes up to a byte.
    fn until(&self, length: usize) -> String {
        (self.head.clone() + &self.body)[..length].to_owned()
    }

    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// The body that a caller may take for whole after so many bytes, if any.
    fn whole_body(&self, length: usize, end: End) -> Option<&str> {
        let begun = &self.body[..length.checked_sub(self.head.len())?];
        let is_inside_event = self.path == "/once/x" && !begun.is_empty() && !begun.ends_with("\n\n");
        (self.ends_with_connection && end == End::Closed && !is_inside_event).then_some(begun)
    }
}

/// Splits an answer behind its final head.
fn split(text: &str, end_of_head: &str) -> (String, String) {
    let (head, body) = text.split_once(end_of_head).unwrap();
    (head.to_owned() + end_of_head, body.to_owned())
}

/// Answers of each framing.
fn answers() -> Vec<Whole> {
    let head_without = |content_type: &str| {
        let head = stream_head().replace("Transfer-Encoding: chunked\r\n", "");
        head.replace("text/event-stream", content_type)
    };
    let (stated, stated_body) = split(&ok("a body of some length"), "\r\n\r\n");
    let chunked = stream_head().replace("text/event-stream", "text/plain");
    let chunks = chunk("0123456789abcdef0123") + &chunk("fine");
    let all_events = event(1) + &event(2);
    let event_chunks = chunk(&event(1)) + &chunk(&event(2));
    let stated_events = stream_head().replace("Transfer-Encoding: chunked", "Content-Length: 32");
    assert_eq!(all_events.len(), 32);
    let (plain, stream) = ("/unsafe/x", "/once/x");
    vec![
        Whole::new("length", plain, stated.clone(), stated_body.clone()),
        Whole::new("line feeds", plain, stated.replace("\r\n", "\n"), stated_body.clone()),
        Whole::new("length after hints", plain, HINTS.to_owned() + &stated, stated_body),
        Whole::new("chunks", plain, chunked.clone(), chunks.clone() + END_OF_CHUNKS),
        Whole::new("trailers", plain, chunked.clone(), chunks.clone() + TRAILERS),
        Whole::new("chunks after hints", plain, HINTS.repeat(2) + &chunked, chunks + END_OF_CHUNKS),
        Whole::new("events", stream, stream_head(), event_chunks.clone() + END_OF_CHUNKS),
        Whole::new("events, trailers", stream, HINTS.to_owned() + &stream_head(), event_chunks + TRAILERS),
        Whole::new("events, length", stream, stated_events, all_events.clone()),
        Whole::new("no length", plain, head_without("text/plain"), "a body".into()).ends_with_connection(),
        Whole::new(
            "no length after hints",
            plain,
            HINTS.to_owned() + &head_without("text/plain"),
            "b".into(),
        )
        .ends_with_connection(),
        Whole::new("events, no length", stream, head_without("text/event-stream"), all_events)
            .ends_with_connection(),
    ]
}

/// Body of a raw answer that is whole, without its chunks; `None` if it is not whole.
fn body_of_whole(got: &str) -> Option<String> {
    let (head, body) = got.split_once("\r\n\r\n").filter(|_| is_complete(got))?;
    if !head.to_ascii_lowercase().contains("transfer-encoding") {
        return Some(body.to_owned());
    }
    // The fixture's bodies hold no line that is only a hexadecimal number.
    let is_size = |line: &&str| !line.is_empty() && line.bytes().all(|b| b.is_ascii_hexdigit());
    let lines = body.split("\r\n").filter(|line| !is_size(line));
    Some(lines.collect())
}

/// Lets a server end an answer at each byte, as the first one on its connection or after another one. The caller must not take it for
/// whole unless it is.
#[tokio::main(flavor = "current_thread")]
async fn cut_everywhere(answer: &Whole, end: End, is_kept: bool) {
    for length in 0..answer.len() {
        let begun = answer.until(length);
        let last = match end {
            End::Closed => ScriptStep::WriteAndClose(begun),
            End::Reset => ScriptStep::WriteAndReset(begun),
        };
        let script = if is_kept { vec![ScriptStep::Write(ok("first")), last] } else { vec![last] };
        let requests = script.len();
        let server = Server::start("i-1", script).await;
        let host = Host::with_servers(&[&server]).await;
        if is_kept {
            assert_eq!(status(&host.call(&request("/unsafe/x", "")).await), 200);
            wait_until("the connection to be kept", || host.relay.idle_connections() == 1).await;
        }

        let got = host.call(&request(answer.path, "").replace("r1", REQUEST)).await;

        let case = format!("{} {end:?} at byte {length}, kept: {is_kept}: {got:?}", answer.name);
        assert_eq!(server.requests().len(), requests, "{case}");
        let whole = body_of_whole(&got).filter(|_| status(&got) < 300);
        assert_eq!(whole.as_deref(), answer.whole_body(length, end), "{case}");
    }
}

/// Guards against an answer that ends early, in its head or its body, and that a caller takes for whole.
#[test]
fn an_answer_that_ends_at_any_byte_is_not_taken_for_whole() {
    for (answer, end) in answers().iter().flat_map(|answer| [(answer, End::Closed), (answer, End::Reset)]) {
        cut_everywhere(answer, end, false);
    }
}

/// Guards against the same where the connection has carried a whole answer before.
#[test]
fn an_answer_that_ends_at_any_byte_of_a_kept_connection_is_not_taken_for_whole() {
    for (answer, end) in answers().iter().flat_map(|answer| [(answer, End::Closed), (answer, End::Reset)]) {
        cut_everywhere(answer, end, true);
    }
}

/// Guards against a refusal or an error that ends in its head and still says that the request did not run, or passes for the server's.
#[tokio::test]
async fn a_head_that_ends_early_says_nothing() {
    for text in [not_run(), answer("421 Misdirected Request", ""), answer("500 Internal Server Error", "")] {
        let text = text.replace("{id}", "r1");
        for length in 0..text.len() {
            let first = Server::start("i-1", [ScriptStep::WriteAndClose(text[..length].into())]).await;
            let second = Server::start("i-2", [ScriptStep::Write(ok("fine"))]).await;
            let host = Host::with_servers(&[&first, &second]).await;

            let got = host.call(&request("/unsafe/x", "")).await;

            assert_eq!(
                (status(&got), second.requests().len()),
                (502, 0),
                "{length} bytes of {text:?}: {got:?}"
            );
            assert_eq!(wire::header(&got, "response-seal"), None, "{got:?}");
        }
    }
}

/// Guards against an answer with the status of another one, whose head broke off on the same connection in front of it.
#[test]
fn a_head_that_another_head_follows_gives_the_answer_no_status() {
    for (late, own) in [("200 OK", "500 Internal Server Error"), ("500 Internal Server Error", "200 OK")] {
        let headers = "Content-Type: text/plain\r\nAttempt-Id: r1\r\nResponse-Seal: s0\r\n\r\n";
        follow_everywhere(&format!("HTTP/1.1 {late}\r\n{headers}"), own);
    }
}

/// Lets a server write a head up to each byte, and then its answer with a status.
#[tokio::main(flavor = "current_thread")]
async fn follow_everywhere(late: &str, own: &str) {
    let own = answer(own, "whole").replace("{id}", REQUEST);
    for length in 1..late.len() {
        let script = [ScriptStep::Write(ok("first")), ScriptStep::Write(late[..length].to_owned() + &own)];
        let server = Server::start("i-1", script).await;
        let host = Host::with_servers(&[&server]).await;
        host.call(&request("/unsafe/x", "")).await;
        wait_until("the connection to be kept", || host.relay.idle_connections() == 1).await;

        let got = host.call(&request("/unsafe/x", "").replace("r1", REQUEST)).await;

        assert_eq!(status(&got), 502, "{length} bytes of {late:?}: {got:?}");
        assert_eq!(wire::header(&got, "response-seal"), None, "{got:?}");
    }
}

/// Guards against a stream that is closed before its end and passes for whole for a caller of HTTP/1.0, who gets neither a length nor
/// chunks.
#[tokio::test]
async fn a_stream_that_is_cut_is_reset_for_a_caller_of_an_older_protocol() {
    for (end, is_whole) in [(END_OF_CHUNKS, true), ("", false)] {
        let text = stream_head() + &chunk(&event(1)) + end;
        let server = Server::start("i-1", [ScriptStep::WriteAndClose(text)]).await;
        let host = Host::with_servers(&[&server]).await;
        let mut caller = TcpStream::connect(host.addr).await.unwrap();

        caller.write_all(request("/once/x", "").replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await.unwrap();
        let ended = caller.read_to_end(&mut Vec::new()).await;

        assert_eq!(ended.is_ok(), is_whole, "{ended:?}");
    }
}
