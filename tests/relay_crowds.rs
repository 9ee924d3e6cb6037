//! Crowds of callers that do not behave, at a host whose machine has 64 MiB of memory and 700 descriptors. The bounds
//! are the machine's; what the crowds are answered is not judged.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/soak/store.rs"]
#[allow(dead_code)]
mod store;

use std::time::Duration;

use crowd::{
    CALLERS, DIRECTORY, Host, MAX_BODY_BYTES, MAX_HEAD_BYTES, METRICS, PEERS, READINESS, Script, chunk, head,
};

/// Keys of the configuration's workspace.
const KEY: &str = "k1";
const KEY_TO_REVOKE: &str = "k2";
const CHUNKED: &str = "Transfer-Encoding: chunked";
/// Connections of a crowd that sends long bodies.
const SENDERS: usize = 40;

/// Guards against a process that ends by memory since many long bodies of a stated length stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_long_bodies_short_of_their_end_fit_the_memory() {
    let mut host = Host::start().await;

    host.bear(SENDERS, CALLERS, &Script::short_of_end("/safe/x", MAX_BODY_BYTES)).await;
}

/// Guards against a process that ends by memory since many long bodies arrive in pieces.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_long_bodies_in_pieces_fit_the_memory() {
    let mut host = Host::start().await;
    let piece = vec![b'x'; 16 << 10];
    let script = Script::body("/safe/x", &format!("Content-Length: {MAX_BODY_BYTES}"), piece, 255);

    host.bear(SENDERS, CALLERS, &Script { pause: Duration::from_millis(2), ..script }).await;
}

/// Guards against a process that ends by memory since many chunked bodies stop short of their end or do not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_chunked_bodies_fit_the_memory() {
    let mut host = Host::start().await;
    let times = MAX_BODY_BYTES / (64 << 10);

    host.bear(SENDERS, CALLERS, &Script::body("/safe/x", CHUNKED, chunk(64 << 10), times)).await;
    host.bear(SENDERS, CALLERS, &Script::body("/safe/x", CHUNKED, chunk(64 << 10), usize::MAX)).await;
}

/// Guards against a process whose sockets hold what it has no time to read, since many bodies arrive in chunks of a byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_in_chunks_of_a_byte_fit_the_memory() {
    let mut host = Host::start().await;
    let unit = chunk(1).repeat(1 << 10);

    host.bear(11 * SENDERS, CALLERS, &Script::body("/safe/x", CHUNKED, unit, 1 << 10)).await;
}

/// Guards against a process that ends by memory since many whole bodies of the largest size arrive at once, and against
/// one that refuses a single body of that size in calm.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_whole_bodies_fit_the_memory_and_one_is_served() {
    let mut host = Host::start().await;
    let field = format!("Content-Length: {MAX_BODY_BYTES}");
    let chunked = [chunk(MAX_BODY_BYTES), b"0\r\n\r\n".to_vec()].concat();

    let before = host.call("/unsafe/x", MAX_BODY_BYTES).await;
    host.bear(SENDERS, CALLERS, &Script::body("/safe/x", &field, vec![b'x'; MAX_BODY_BYTES], 1)).await;
    let afterwards = host.call("/unsafe/x", MAX_BODY_BYTES).await;
    let in_chunks = host.bear(1, CALLERS, &Script::body("/safe/x", CHUNKED, chunked, 1)).await;

    assert_eq!((before, afterwards, in_chunks), (Some(200), Some(200), vec![Some(200)]));
}

/// Guards against a process that ends by memory since it keeps bodies of requests that can only be refused, and against
/// bodies over the limit, announced or sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_of_requests_that_are_refused_are_not_kept() {
    let mut host = Host::start().await;
    let without_route = Script::short_of_end("/nowhere/x", MAX_BODY_BYTES);
    let with_key = Script::short_of_end("/safe/x", MAX_BODY_BYTES);
    let without_key = Script { head: with_key.head.replace("Key: k1\r\n", ""), ..with_key };
    let announced = Script::body("/safe/x", "Content-Length: 1073741824", vec![b'x'; 64 << 10], usize::MAX);

    for script in [without_route, without_key, announced] {
        host.bear(SENDERS, CALLERS, &script).await;
    }
}

/// Guards against a process that ends by memory since many connections each hold a part of a body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_connections_with_a_part_of_a_body_fit_the_memory() {
    let mut host = Host::start().await;
    let field = format!("Content-Length: {MAX_BODY_BYTES}");

    host.bear(450, CALLERS, &Script::body("/safe/x", &field, vec![b'x'; 200_000], 1)).await;
}

/// Guards against a process that ends by memory or descriptors since many heads stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_heads_short_of_their_end_fit_memory_and_descriptors() {
    let mut host = Host::start().await;
    let field = format!("X-Fill: {}", "x".repeat(MAX_HEAD_BYTES - 200));
    let whole = head("/safe/x", &field);

    host.bear(900, CALLERS, &Script::once(&whole[..whole.len() - 1])).await;
}

/// Guards against a process that ends by memory since many callers ask for long answers, or for many, and read none.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_answers_that_are_not_read_fit_the_memory() {
    let mut host = Host::start().await;
    let pipelined = head("/safe/x", "Content-Length: 0").repeat(50);

    host.bear(240, CALLERS, &Script::once(head("/safe/long", "Content-Length: 0"))).await;
    host.bear(240, CALLERS, &Script::once(pipelined)).await;
}

/// Guards against a process without descriptors for servers and the store, since many connections send nothing to one of
/// its ports.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections_leave_descriptors_on_every_port() {
    let mut host = Host::start().await;

    for port in [CALLERS, READINESS, DIRECTORY, METRICS, PEERS] {
        host.bear(900, port, &Script::once("")).await;
    }
}
