//! Servers that read bodies late, and servers that send bytes without end.

use std::{
    io,
    net::SocketAddr,
    sync::Weak,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use super::{
    Scenario,
    caller::request_body,
    checks::{Observation, ServerEvent},
    engine::{Handler, hash},
};
use crate::wire::{chunk, header};

/// Number of servers that send bytes without end.
const ENDLESS_COUNT: u64 = 2;
/// Receive buffer of servers that read late, in bytes, a part of a long body.
const RECEIVE_BUFFER: u32 = 16 * 1_024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 256;
/// Bodies above this size in bytes are long.
const MAX_SHORT_BODY: usize = 4_096;
/// One in this many requests with a long body is answered before the body is read.
const ANSWER_FIRST_ONE_IN: u64 = 2;
/// Time between two events of a stream that is answered first, which outlasts a moment without progress of its body.
const EARLY_EVENT_GAP: Duration = Duration::from_millis(60);
/// Time for which a server stands still, also between an early answer and the rest of the body.
const STANDSTILL_MS: std::ops::Range<u64> = 900..2_100;
/// Time between two of them.
const STANDSTILL_GAP_MS: std::ops::Range<u64> = 1_000..4_000;
/// Size in bytes of one write of a server that sends without end.
const WRITE_SIZE: usize = 1_024;
/// Size in bytes of the chunks of an event without end.
const CHUNK_SIZE: usize = 64;
/// Text that only such bytes have.
pub const ENDLESS_TEXT: &str = "endless";

/// How a server treats its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Conduct {
    /// Reads each request and answers it.
    #[default]
    Usual,
    /// Stands still at times before it reads a body, and answers some requests before it reads theirs.
    ReadsLate,
    /// Sends bytes without end, of one of these kinds for each request.
    Endless(&'static [EndlessBytes]),
}

impl Conduct {
    /// Conduct of the server with a number in a scenario.
    pub fn of(scenario: Scenario, number: u64) -> Self {
        match scenario {
            Scenario::LateReaders => Conduct::ReadsLate,
            Scenario::EndlessBytes(kinds) if number < ENDLESS_COUNT => Conduct::Endless(kinds),
            _ => Conduct::Usual,
        }
    }

    /// The bytes that a request gets instead of an answer.
    pub fn endless(self, id: &str, is_stream: bool) -> Option<EndlessBytes> {
        let Conduct::Endless(kinds) = self else { return None };
        let fitting: Vec<_> = kinds.iter().filter(|kind| kind.fits(is_stream)).collect();
        fitting.get(hash(id) as usize % fitting.len().max(1)).map(|kind| **kind)
    }

    /// Listener of a server.
    pub fn listen(self) -> TcpListener {
        let socket = TcpSocket::new_v4().unwrap();
        if self == Conduct::ReadsLate {
            socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        }
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        socket.listen(BACKLOG).unwrap()
    }
}

/// Bytes that a server sends until its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    /// An event of a stream, in small chunks.
    Event,
    /// Informational answers.
    Informational,
    /// Lines of a head.
    HeaderLines,
    /// The body of a whole answer.
    Answer,
    /// The body of an error.
    ErrorBody,
    /// Well-formed events without numbers.
    UnnumberedEvents,
}

impl EndlessBytes {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Event,
        Self::Informational,
        Self::HeaderLines,
        Self::Answer,
        Self::ErrorBody,
        Self::UnnumberedEvents,
    ];

    /// Whether a request for a stream, or one for a whole answer, may get such bytes.
    fn fits(self, is_stream: bool) -> bool {
        match self {
            Self::Event | Self::UnnumberedEvents => is_stream,
            Self::Answer => !is_stream,
            Self::Informational | Self::HeaderLines | Self::ErrorBody => true,
        }
    }

    /// The first bytes, and those that follow again and again. `headers` are those of every answer.
    fn texts(self, headers: &str) -> (String, String) {
        let head = |status: &str, kind: &str| {
            format!(
                "HTTP/1.1 {status}\r\n{headers}Content-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
        };
        let body = chunk(&ENDLESS_TEXT.repeat(WRITE_SIZE / ENDLESS_TEXT.len()));
        match self {
            Self::Event => {
                let first = head("200 OK", "text/event-stream") + &chunk("id: 1\ndata: ");
                (first, chunk(&format!("{ENDLESS_TEXT:x<CHUNK_SIZE$}")))
            }
            Self::UnnumberedEvents => {
                (head("200 OK", "text/event-stream"), chunk(&format!("data: {ENDLESS_TEXT}\n\n")))
            }
            Self::Informational => {
                (String::new(), format!("HTTP/1.1 103 Early Hints\r\nLink: {ENDLESS_TEXT}\r\n\r\n"))
            }
            Self::HeaderLines => {
                (format!("HTTP/1.1 200 OK\r\n{headers}"), format!("X-Line: {ENDLESS_TEXT}\r\n"))
            }
            Self::Answer => (head("200 OK", "text/plain"), body),
            Self::ErrorBody => (head("500 Internal Server Error", "text/plain"), body),
        }
    }

    /// Writes the bytes until the connection is closed.
    pub async fn write(self, stream: &mut TcpStream, headers: &str) {
        let (first, again) = self.texts(headers);
        let again = again.repeat(WRITE_SIZE.div_ceil(again.len()));
        let mut written = stream.write_all(first.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(again.as_bytes()).await;
        }
    }
}

/// Makes a server stand still again and again until it is gone.
pub async fn stand_still_at_times(silent: Weak<watch::Sender<bool>>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        for (is_silent, range) in [(false, STANDSTILL_GAP_MS), (true, STANDSTILL_MS)] {
            let Some(silent) = silent.upgrade() else { return };
            silent.send_modify(|s| *s = is_silent);
            drop(silent);
            tokio::time::sleep(Duration::from_millis(rng.random_range(range))).await;
        }
    }
}

impl Handler {
    /// Serves the requests of one connection, and reads their bodies late.
    pub async fn serve_late(self, mut stream: TcpStream) {
        let mut unread = Vec::new();
        while let Ok(head) = read_head(&mut stream, &mut unread).await {
            let id = header(&head, "attempt-id").unwrap_or_default();
            let length = header(&head, "content-length").and_then(|n| n.parse().ok());
            let (true, Some(length)) = (head.starts_with("POST /"), length) else {
                return self.history.record(Observation::WrongBytes { engine: self.id, bytes: head });
            };
            let is_long = length > MAX_SHORT_BODY;
            let answers_first = is_long && hash(&id).is_multiple_of(ANSWER_FIRST_ONE_IN);
            let treatment = match (is_long, answers_first) {
                (false, _) => "short body",
                (true, false) => "long body",
                (true, true) => "answered first",
            };
            self.record_event(&id, ServerEvent::Arrived(Instant::now()));
            self.record_event(&id, ServerEvent::Treated(treatment));
            self.end_of_silence().await;
            if !answers_first && self.read_body(&mut stream, &mut unread, &id, length).await.is_err() {
                return;
            }
            self.record_execution(&id, &head);
            let headers = format!("Attempt-Id: {id}\r\nResponse-Seal: s1\r\n");
            let gap = if answers_first { EARLY_EVENT_GAP } else { super::engine::EVENT_GAP };
            if self.write_answer(&mut stream, &head, &headers, &id, gap).await.is_err() {
                return;
            }
            self.history.record(Observation::AnswerWritten { id: id.clone(), engine: self.id.clone() });
            if answers_first {
                let standstill = STANDSTILL_MS.start + hash(&id) % (STANDSTILL_MS.end - STANDSTILL_MS.start);
                tokio::time::sleep(Duration::from_millis(standstill)).await;
                if self.read_body(&mut stream, &mut unread, &id, length).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Reads a body and checks that it is the one that its caller sent.
    async fn read_body(
        &self,
        stream: &mut TcpStream,
        unread: &mut Vec<u8>,
        id: &str,
        length: usize,
    ) -> io::Result<()> {
        while unread.len() < length {
            read_more(stream, unread).await?;
        }
        let body: Vec<u8> = unread.drain(..length).collect();
        if body != request_body(id, length).as_bytes() {
            let bytes = String::from_utf8_lossy(&body).into_owned();
            self.history.record(Observation::WrongBytes { engine: self.id.clone(), bytes });
        }
        Ok(())
    }
}

/// Reads up to the end of a head, which is removed from the bytes that are unread.
async fn read_head(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = unread.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            return Ok(String::from_utf8_lossy(&unread.drain(..at + 4).collect::<Vec<_>>()).into_owned());
        }
        read_more(stream, unread).await?;
    }
}

/// Reads what has arrived; fails at the end of the connection.
async fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<()> {
    match stream.read_buf(unread).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
