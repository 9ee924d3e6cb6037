//! Tests hosts that pass on large state while they receive it, and refer other hosts to each other.

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        backends::packed,
        datagram,
        distribution::{Capacity, MIN_PASSED_ON_BYTES, Receivers, Referrals},
        follow::BackendsUpdate,
    },
    schema::fleet::{Backends, Beat, Fetch, Fetched, Member},
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinSet,
    time::timeout,
};

#[path = "support/relay.rs"]
mod relay_support;
use relay_support::{ask, host, listed};

/// Time after which a test gives up.
const GIVE_UP: Duration = Duration::from_secs(30);
/// Interval at which a slow connection carries some bytes, well below the time after which a host takes it for stalled.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of hosts that share the cuts of an answer, since each waits after a failure.
const HOSTS: usize = 16;
/// Address of a host that passes on what it receives.
const RECEIVER: &str = "127.0.0.1:9";

fn list(servers: usize) -> Backends {
    let items = (0..servers).map(|n| listed(&format!("i-{n:08x}"), false)).collect();
    Backends { revision: 7, items, ..Backends::default() }
}

fn encoded_list() -> Vec<u8> {
    let packed = Some(packed::pack(list(10_000)));
    let message = postcard::to_allocvec(&Fetched { packed, ..Fetched::default() }).unwrap();
    assert!(message.len() > 2 * MIN_PASSED_ON_BYTES);
    message
}

/// Request of a host that lacks everything and passes on what it receives.
fn request(passes_on_at: &str) -> Fetch {
    Fetch { wants_held: true, accepts_packed: true, passes_on_at: passes_on_at.into(), ..Fetch::default() }
}

async fn send(stream: &mut TcpStream, message: &[u8]) {
    stream.write_all(&(message.len() as u32).to_le_bytes()).await.unwrap();
    stream.write_all(message).await.unwrap();
}

async fn fetch(at: SocketAddr, request: Fetch) -> Fetched {
    postcard::from_bytes(&ask(at, &postcard::to_allocvec(&request).unwrap()).await).unwrap()
}

/// Waits until a host has the list.
async fn await_list(at: SocketAddr) -> Backends {
    let asking = async {
        loop {
            let request = Fetch { accepts_packed: true, ..Fetch::default() };
            if let Some(packed) = fetch(at, request).await.packed {
                return packed::unpack(packed).unwrap();
            }
            tokio::time::sleep(TRICKLE_INTERVAL).await;
        }
    };
    timeout(GIVE_UP, asking).await.unwrap()
}

/// A host that is ahead of all others, and whose answers are up to the test.
struct Source {
    at: SocketAddr,
    socket: UdpSocket,
    asked: UnboundedReceiver<(TcpStream, Fetch)>,
}

impl Source {
    async fn start() -> Self {
        let (listener, socket) = loop {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
                break (listener, socket);
            }
        };
        let at = listener.local_addr().unwrap();
        let (tx, asked) = unbounded_channel();
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buf = vec![0; stream.read_u32_le().await.unwrap() as usize];
                stream.read_exact(&mut buf).await.unwrap();
                tx.send((stream, postcard::from_bytes(&buf).unwrap())).unwrap();
            }
        });
        Self { at, socket, asked }
    }

    /// Tells a host again and again that this one is ahead, until the host asks it.
    async fn await_question(&mut self, host: SocketAddr) -> (TcpStream, Fetch) {
        let asking = async {
            for number in 1.. {
                let message = datagram::encode(&self.beat(number)).unwrap();
                self.socket.send_to(&message, host).await.unwrap();
                if let Ok(asked) = timeout(Duration::from_millis(200), self.asked.recv()).await {
                    return asked.unwrap();
                }
            }
            unreachable!()
        };
        timeout(GIVE_UP, asking).await.unwrap()
    }

    fn beat(&self, number: u64) -> Beat {
        let sender = Member {
            name: "source".into(),
            callers: "127.0.0.1:2".into(),
            peers: self.at.to_string(),
            data_centre: "a".into(),
        };
        Beat {
            start: 3,
            number,
            ready: true,
            backends: 7,
            backends_digest: 1,
            follows_store: true,
            sender: Some(sender),
            ..Beat::default()
        }
    }
}

/// A connection on which a source has sent half of a message, and goes on byte by byte.
struct HalfSent {
    stream: TcpStream,
    message: Vec<u8>,
    sent: usize,
}

impl HalfSent {
    async fn new(mut stream: TcpStream, message: Vec<u8>) -> Self {
        let sent = message.len() / 2;
        stream.write_all(&(message.len() as u32).to_le_bytes()).await.unwrap();
        stream.write_all(&message[..sent]).await.unwrap();
        Self { stream, message, sent }
    }

    /// Keeps the transfer going while `work` is done.
    async fn during<T>(&mut self, work: impl Future<Output = T>) -> T {
        let work = async { timeout(GIVE_UP, work).await.unwrap() };
        tokio::pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return done,
                () = tokio::time::sleep(TRICKLE_INTERVAL) => {
                    self.stream.write_all(&self.message[self.sent..=self.sent]).await.unwrap();
                    self.sent += 1;
                }
            }
        }
    }

    async fn finish(&mut self) {
        self.stream.write_all(&self.message[self.sent..]).await.unwrap();
    }
}

/// Asks a host until it passes on a message of `length` bytes.
async fn ask_until_passed_on(at: SocketAddr, request: &Fetch, length: usize) -> TcpStream {
    loop {
        let mut stream = TcpStream::connect(at).await.unwrap();
        send(&mut stream, &postcard::to_allocvec(request).unwrap()).await;
        if stream.read_u32_le().await.unwrap() as usize == length {
            return stream;
        }
        tokio::time::sleep(TRICKLE_INTERVAL).await;
    }
}

/// Guards against a fleet in which each host must have all of a list before it passes any of it on.
#[tokio::test]
async fn a_host_passes_on_the_part_of_a_list_that_it_has() {
    let mut source = Source::start().await;
    let (_host, at) = host("host-1", &[]).await;
    let (stream, asked) = source.await_question(at).await;
    let message = encoded_list();
    let mut half = HalfSent::new(stream, message.clone()).await;
    let mut received = vec![0; message.len() / 2];

    let mut stream = half
        .during(async {
            let mut stream = ask_until_passed_on(at, &request(RECEIVER), message.len()).await;
            stream.read_exact(&mut received).await.unwrap();
            stream
        })
        .await;
    half.finish().await;
    stream.read_to_end(&mut received).await.unwrap();

    assert_eq!(asked, request(&at.to_string()));
    assert!(received == message, "{} of {} bytes, or other ones", received.len(), message.len());
    assert_eq!(await_list(at).await, list(10_000));
}

/// Guards against answers that lack, or repeat as changes, what the asking host does not have.
#[tokio::test]
async fn a_host_passes_on_nothing_to_a_host_that_lacks_other_state() {
    let mut source = Source::start().await;
    let (_host, at) = host("host-1", &[]).await;
    let (stream, _) = source.await_question(at).await;
    let message = encoded_list();
    let mut half = HalfSent::new(stream, message.clone()).await;
    let differs = Fetch { configuration: 3, ..request(RECEIVER) };

    let answer = half
        .during(async {
            ask_until_passed_on(at, &request(RECEIVER), message.len()).await;
            fetch(at, differs).await
        })
        .await;

    assert_eq!(answer, Fetched::default());
}

/// Guards against hosts that wait for, or take as whole, a list whose source was killed.
#[tokio::test]
async fn a_list_that_stops_arriving_ends_where_it_is_passed_on_and_is_fetched_again() {
    let mut source = Source::start().await;
    let (_host, at) = host("host-1", &[]).await;
    let (stream, _) = source.await_question(at).await;
    let message = encoded_list();
    let mut half = HalfSent::new(stream, message.clone()).await;
    let mut received = Vec::new();

    let mut stream = half.during(ask_until_passed_on(at, &request(RECEIVER), message.len())).await;
    drop(half);
    // The connection may be reset as well.
    let _ = timeout(GIVE_UP, stream.read_to_end(&mut received)).await.unwrap();
    let (mut again, _) = source.await_question(at).await;
    send(&mut again, &message).await;

    assert!(received.len() < message.len());
    assert_eq!(await_list(at).await, list(10_000));
}

/// Guards against hosts that know of no other source while they are turned away, and against a referral that can't be read.
#[tokio::test]
async fn a_host_follows_a_referral_and_drops_an_invalid_one() {
    let mut source = Source::start().await;
    let (other, other_at) = host("host-2", &[]).await;
    other.update_backends(BackendsUpdate::List(list(10)), None, "test");
    let (_host, at) = host("host-1", &[]).await;
    let answers = ["no address".to_string(), other_at.to_string()];

    for referral in answers {
        let (mut stream, _) = source.await_question(at).await;
        let answer = Fetched { busy: true, referral, ..Fetched::default() };
        send(&mut stream, &postcard::to_allocvec(&answer).unwrap()).await;
    }

    assert_eq!(await_list(at).await, list(10));
}

/// Guards against hosts that ask a few sources again and again while others receive the list and could pass it on.
#[tokio::test]
async fn a_busy_host_refers_to_the_hosts_that_it_answers() {
    let mut source = Source::start().await;
    let (_host, at) = host("host-1", &[]).await;
    let (stream, _) = source.await_question(at).await;
    let message = encoded_list();
    let mut half = HalfSent::new(stream, message.clone()).await;
    let receivers = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let mut streams = Vec::new();

    let asking = async {
        for receiver in receivers {
            streams.push(ask_until_passed_on(at, &request(receiver), message.len()).await);
        }
        let same = fetch(at, request(RECEIVER)).await;
        // The last one as of a version without this field.
        let others = [Fetch { configuration: 3, ..request(RECEIVER) }, request("")];
        let [other, before] = others.map(|request| fetch(at, request));
        let (other, before) = tokio::join!(other, before);
        [same, other, before]
    };
    let answers = half.during(asking).await;

    let [same, other, before] = answers.map(|answer| answer.busy.then_some(answer.referral));
    assert!(same.as_ref().is_some_and(|at| receivers.contains(&at.as_str())), "{same:?}");
    assert_eq!([other, before], [const { Some(String::new()) }; 2]);
}

/// Guards against referrals to hosts that don't receive the same, that have it already, or that ask themselves.
#[test]
fn only_other_hosts_that_receive_the_same_are_referred_to() {
    let mut rng = SmallRng::seed_from_u64(1);
    let changed = Fetch { configuration: 3, ..request("") };
    let mut receivers = Receivers::default();
    receivers.add(&request("b"), "b");
    receivers.add(&changed, "c");

    let to_a = receivers.refer(&request("a"), &"a", &mut rng);
    let to_b = receivers.refer(&request("b"), &"b", &mut rng);
    receivers.remove(&"b");
    let later = receivers.refer(&request("a"), &"a", &mut rng);

    assert_eq!([to_a, to_b, later], [Some("b"), None, None]);
}

/// Guards against hosts that refer to each other in a circle.
#[test]
fn referrals_end() {
    let mut referrals = Referrals::default();

    let followed = (0..100).take_while(|_| referrals.follow(Some(())).is_some()).count();

    assert!(followed < 20, "{followed}");
    assert_eq!(referrals.follow(Some(())), Some(()), "after the pause it counts anew");
}

/// Guards against slow links that are shared by many hosts which don't pass anything on, and fast ones that are not used.
#[test]
fn hosts_that_pass_an_answer_on_share_a_slow_link() {
    let answers = |slots, passes_on| {
        let capacity = Capacity::of(slots);
        capacity.units() / capacity.units_per_answer(passes_on)
    };

    assert_eq!([1, 2, 3, 10, 24].map(|slots| answers(slots, true)), [3, 3, 3, 10, 24]);
    assert_eq!([1, 2, 3, 10, 24].map(|slots| answers(slots, false)), [1, 2, 3, 10, 24]);
}

/// Guards against a part of another host's answer that counts as the whole, since fields that a host of an earlier version lacks may be
/// missing at its end.
#[tokio::test]
async fn an_answer_that_ends_at_any_byte_changes_nothing() {
    let message = postcard::to_allocvec(&Fetched { backends: Some(list(2)), ..Fetched::default() }).unwrap();
    let whole = [&(message.len() as u32).to_le_bytes()[..], &message[..]].concat();
    let mut hosts = JoinSet::new();
    for first in 0..HOSTS {
        hosts.spawn(cut_everywhere(whole.clone(), first));
    }

    let cuts: usize = hosts.join_all().await.into_iter().sum();

    assert_eq!(cuts, whole.len());
}

/// Sends a host an answer up to each [`HOSTS`]th byte, and then all of it; returns how often it was cut.
async fn cut_everywhere(whole: Vec<u8>, first: usize) -> usize {
    let mut source = Source::start().await;
    let (_host, at) = host("host-1", &[]).await;
    let ends: Vec<_> = (first..whole.len()).step_by(HOSTS).collect();
    for end in &ends {
        let (mut stream, asked) = source.await_question(at).await;
        assert_eq!(asked.backends, 0, "after a cut before {end} of {} bytes", whole.len());
        stream.write_all(&whole[..*end]).await.unwrap();
    }
    let (mut stream, asked) = source.await_question(at).await;
    assert_eq!(asked.backends, 0, "after the last cut");
    stream.write_all(&whole).await.unwrap();
    assert_eq!(await_list(at).await, list(2));
    ends.len()
}
