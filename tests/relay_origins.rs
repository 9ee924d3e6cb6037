//! The decision where a stream goes on: its parts, and a search over begins, breaks, kills, lost and late messages, cuts and
//! version changes of several hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cranberrytally::{
    relay::{
        origins::{
            Continuation, Discontinued, MixedService, Origins, StreamKey,
            questions::{Certainty, Questions},
            saved::{PARTS, Part, SavedStreams},
            service_tag,
            table::{Known, Table},
            version_tag,
        },
        peers::{LocalVersions, Peers},
    },
    schema::fleet::{Beat, Member},
};
use proptest::prelude::*;

const SERVICE: &str = "s";
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Longest timeout of a stream; callers take one up within it.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How old a list of servers may be that counts as current.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7_000))
}

fn at(version: &str) -> Continuation {
    Continuation { service: SERVICE.into(), version: version.into() }
}

fn observe(origins: &mut Origins, now: Duration, versions: &[&str]) {
    let servers: Vec<(Arc<str>, Arc<str>)> = versions.iter().map(|v| (SERVICE.into(), (*v).into())).collect();
    origins.observe(now, servers.iter().map(|(service, version)| (service, version)));
}

/// A host that has seen these versions all the time.
fn origins(versions: &[&str]) -> Origins {
    let mut origins = Origins::new(ms(0));
    origins.set_timeout(TIMEOUT);
    observe(&mut origins, ms(0), versions);
    origins
}

fn stream(n: u64) -> StreamKey {
    StreamKey::new("travel", &n.to_string()).unwrap()
}

/// Guards against a stream that goes on where its version is not certain, and one that does not although it is.
#[test]
fn an_unknown_stream_goes_on_only_at_the_only_version_that_can_have_begun_it() {
    let (one, two) = (origins(&["v1"]), origins(&["v1", "v2"]));
    let v1 = Certainty::Only(version_tag(SERVICE, "v1"));
    let v2 = Certainty::Only(version_tag(SERVICE, "v2"));
    let (unknown, unconfirmed) = (Err(Discontinued::Unknown), Err(Discontinued::Unconfirmed));
    let cases = [
        ("one version", &one, true, Certainty::Unsure, Ok(at("v1"))),
        ("one version, and another host is certain", &one, true, v1, Ok(at("v1"))),
        ("one version, not read since", &one, false, Certainty::Unsure, unconfirmed.clone()),
        ("one version, not read since, and another host is certain", &one, false, v1, unconfirmed),
        ("another host is certain of another version", &one, true, v2, unknown.clone()),
        ("another host has seen several", &one, true, Certainty::Several, unknown.clone()),
        ("two versions", &two, true, v1, unknown),
    ];
    for (name, origins, is_read, certainty, expected) in cases {
        let found = origins.continuation(ms(0), Some(stream(1)), &[SERVICE], is_read, certainty);

        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against a version that counts as the only one while streams of another one can still be taken up.
#[test]
fn a_version_counts_until_its_streams_are_over() {
    let mut origins = origins(&["v1"]);
    observe(&mut origins, ms(100), &["v2"]);
    let goes_on =
        |origins: &Origins| origins.continuation(ms(0), None, &[SERVICE], true, Certainty::Unsure).is_ok();

    let soon = goes_on(&origins);
    observe(&mut origins, TIMEOUT, &["v2"]);
    let at_timeout = goes_on(&origins);
    let over = ms(100) + origins.lifetime();
    observe(&mut origins, over, &["v2"]);

    assert_eq!([soon, at_timeout, goes_on(&origins)], [false, false, true]);
}

/// Guards against two streams under one identifier, of which one goes on with the other's version.
#[test]
fn an_identifier_of_two_versions_is_conflicting() {
    let mut origins = origins(&["v1", "v2"]);
    origins.begin(stream(1), &at("v1"), 1);
    origins.hear(stream(1), version_tag(SERVICE, "v2"));

    let found = origins.continuation(ms(0), Some(stream(1)), &[SERVICE], true, Certainty::Unsure);

    assert_eq!(found, Err(Discontinued::Conflicting));
}

/// Guards against servers without a version, of which two may differ, that count as equal.
#[test]
fn a_missing_version_goes_on_only_if_no_server_tells_one() {
    let (none, some) = (origins(&[""]), origins(&["", "v1"]));

    assert!(none.may_continue(&at("")));
    assert!(!some.may_continue(&at("")));
}

/// Guards against hosts that tell of streams while nobody needs to know, or do not when somebody does.
#[test]
fn streams_are_told_only_while_several_versions_may_have_begun_them() {
    let mut origins = origins(&["v1"]);
    let alone = origins.begin(stream(1), &at("v1"), 1);
    let on_two_services = origins.begin(stream(2), &at("v1"), 2);
    observe(&mut origins, ms(10), &["v1", "v2"]);

    let mixed = origins.begin(stream(3), &at("v2"), 1);
    origins.end(stream(3));
    let open: BTreeSet<_> = origins.open_here().map(|(stream, _)| stream).collect();

    assert_eq!((alone, on_two_services.is_some(), mixed.is_some()), (None, true, true));
    assert_eq!(open, BTreeSet::from([stream(1), stream(2)]), "those that began before, and have not ended");
}

/// Guards against a table that grows without bound, or forgets a stream that can still be taken up.
#[test]
fn streams_are_remembered_for_a_bounded_time_and_number() {
    let lifetime = ms(1_000);
    let mut table = Table::new(ms(0));
    table.insert(stream(1), 7, true);
    table.expire(lifetime, lifetime);
    let after_one = table.get(stream(1));
    table.expire(lifetime * 2, lifetime);
    let after_two = table.get(stream(1));
    for n in 0..300_000 {
        table.insert(stream(n), 7, false);
    }

    assert_eq!((after_one, after_two), (Some(Known::Version(7)), None));
    assert!(table.len() <= 131_072, "{}", table.len());
}

/// Guards against hosts that contradict each other and are believed, and against one that answers twice.
#[test]
fn the_word_of_other_hosts_is_certain_only_if_they_agree() {
    let certainty = |words: &[(usize, Certainty)]| {
        let mut questions = Questions::default();
        questions.ask(stream(1), [1, 2].map(addr).into_iter());
        words.iter().for_each(|(host, certainty)| questions.hear(addr(*host), stream(1), *certainty));
        (questions.waits_for(stream(1)).len(), questions.close(stream(1)))
    };

    assert_eq!(certainty(&[(1, Certainty::Only(7)), (2, Certainty::Unsure)]), (0, Certainty::Only(7)));
    assert_eq!(certainty(&[(1, Certainty::Only(7)), (2, Certainty::Only(8))]), (0, Certainty::Several));
    assert_eq!(certainty(&[(1, Certainty::Unsure), (1, Certainty::Only(7))]), (1, Certainty::Unsure));
    assert_eq!(certainty(&[(3, Certainty::Only(7))]), (2, Certainty::Unsure), "a host that was not asked");
}

/// Guards against questions of callers that left, which fill the memory.
#[test]
fn questions_that_nobody_waits_for_are_bounded() {
    let mut questions = Questions::default();
    (0..10_000).for_each(|n| questions.ask(stream(n), [addr(1)].into_iter()));

    let open = (0..10_000).filter(|n| !questions.waits_for(stream(*n)).is_empty()).count();

    assert!((1..=4_096).contains(&open), "{open}");
}

/// Guards against hosts that choose different ones to remember a stream, or all of one data centre.
#[test]
fn hosts_agree_on_who_remembers_a_stream() {
    let peers = |own: usize| {
        let mut peers = Peers::new(addr(own), "a", &[]);
        for host in (0..60).filter(|host| *host != own) {
            let sender = Member {
                name: host.to_string(),
                peers: addr(host).to_string(),
                data_centre: ["a", "b", "c"][host % 3].into(),
                ..Member::default()
            };
            let beat = Beat { start: 1, number: 1, sender: Some(sender), ..Beat::default() };
            peers.receive(ms(0), addr(host), &beat, LocalVersions::default());
        }
        peers
    };
    let (first, second) = (peers(0), peers(1));

    for n in 0..100 {
        let replicas = |peers: &Peers| -> Vec<_> {
            let replicas = peers.replicas(ms(0), stream(n).0, 8).into_iter().map(|replica| replica.addr);
            replicas.filter(|replica| ![addr(0), addr(1)].contains(replica)).collect()
        };
        let (by_first, by_second) = (replicas(&first), replicas(&second));

        let common = by_first.iter().filter(|replica| by_second.contains(replica)).count();
        assert!(common >= 6, "{by_first:?} {by_second:?}");
        let centre =
            |replica: &SocketAddr| replica.ip().to_string().rsplit('.').next().unwrap().parse::<usize>();
        let centres: BTreeSet<_> =
            by_first.iter().take(4).map(|replica| centre(replica).unwrap() % 3).collect();
        assert!(centres.len() >= 2, "{by_first:?}");
    }
}

/// A host of the search.
struct Host {
    origins: Origins,
    /// Versions of the servers that it lists.
    listed: Vec<&'static str>,
    /// When it last read the list, and whether it reaches the store now.
    read_at: Duration,
    reaches_store: bool,
    /// Services with several versions, as it last registered them.
    registered: Vec<MixedService>,
    /// Hosts with the same number reach each other.
    side: usize,
    /// Whether it does nothing, and callers cannot reach it.
    stands_still: bool,
    /// Until when the answers of its watches are on their way.
    late_until: Duration,
}

impl Host {
    /// Whether it reads the list now if it reaches the store.
    fn reads(&self, now: Duration) -> bool {
        !self.stands_still && self.late_until <= now
    }
}

struct Stream {
    version: &'static str,
    began: Duration,
}

struct Search {
    now: Duration,
    hosts: Vec<Host>,
    /// Versions that servers run, and when each appeared.
    versions: Vec<(&'static str, Duration)>,
    /// Services with several versions, as registered in the store.
    registered: Vec<MixedService>,
    streams: Vec<Stream>,
    /// What is told and not yet delivered: when, to which host, of which stream.
    messages: Vec<(Duration, usize, StreamKey, u32)>,
}

#[derive(Clone, Debug)]
enum Event {
    Begin { host: usize, version: usize, lost: u8, delay_ms: u64 },
    TakeUp { stream: usize, host: usize, lost: u8 },
    Kill { host: usize },
    KillAll,
    Cut { host: usize, side: usize, reaches_store: bool },
    StandStill { host: usize },
    GoOn { host: usize },
    Late { host: usize, by_ms: u64 },
    Heal,
    Start { version: usize },
    Leave { version: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let (host, version) = (0..4usize, 0..VERSIONS.len());
    // To which hosts messages are lost, by bit.
    let lost = prop_oneof![any::<u8>(), Just(u8::MAX)];
    prop_oneof![
        6 => (host.clone(), version.clone(), lost.clone(), 0..400u64)
            .prop_map(|(host, version, lost, delay_ms)| Event::Begin { host, version, lost, delay_ms }),
        8 => (0..3usize, host.clone(), lost)
            .prop_map(|(stream, host, lost)| Event::TakeUp { stream, host, lost }),
        2 => host.clone().prop_map(|host| Event::Kill { host }),
        1 => Just(Event::KillAll),
        2 => (host.clone(), 0..3usize, any::<bool>())
            .prop_map(|(host, side, reaches_store)| Event::Cut { host, side, reaches_store }),
        2 => host.clone().prop_map(|host| Event::StandStill { host }),
        2 => host.clone().prop_map(|host| Event::GoOn { host }),
        6 => (host, 0..MAX_LIST_AGE.as_millis() as u64)
            .prop_map(|(host, by_ms)| Event::Late { host, by_ms }),
        1 => Just(Event::Heal),
        3 => version.clone().prop_map(|version| Event::Start { version }),
        2 => version.prop_map(|version| Event::Leave { version }),
    ]
}

impl Search {
    fn new() -> Self {
        let hosts = (0..4).map(|_| Host {
            origins: origins(&["v1"]),
            listed: vec!["v1"],
            read_at: ms(0),
            reaches_store: true,
            registered: Vec::new(),
            side: 0,
            stands_still: false,
            late_until: ms(0),
        });
        Self {
            now: ms(1),
            hosts: hosts.collect(),
            versions: vec![("v1", ms(0))],
            registered: Vec::new(),
            streams: Vec::new(),
            messages: Vec::new(),
        }
    }

    /// Lets time pass: hosts that reach the store read the list and register, and messages arrive.
    fn advance(&mut self, by: Duration) {
        self.now += by;
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, host, stream, version) in due {
            self.hosts[host].origins.hear(stream, version);
        }
        self.read_lists();
    }

    /// Hosts read the list from the store or from a host that they reach, and register what has changed for them.
    fn read_lists(&mut self) {
        let reading = self.hosts.iter().filter(|h| h.reads(self.now) && h.reaches_store);
        let reached: Vec<_> = reading.map(|h| h.side).collect();
        for host in self.hosts.iter_mut().filter(|h| !h.stands_still) {
            if host.reads(self.now) && (host.reaches_store || reached.contains(&host.side)) {
                host.origins.record_new_list(self.now, host.read_at, MAX_LIST_AGE);
                host.listed = self.versions.iter().map(|(version, _)| *version).collect();
                host.read_at = self.now;
            }
            observe(&mut host.origins, self.now, &host.listed);
            if host.reaches_store && host.origins.mixed_services() != host.registered {
                if !host.origins.has_seen_all(self.now) {
                    host.origins.learn_registered(self.registered.iter().map(|mixed| &*mixed.service));
                }
                host.registered = host.origins.mixed_services();
                self.registered.clone_from(&host.registered);
            }
        }
    }

    fn begin(&mut self, host: usize, version: usize, lost: u8, delay: Duration) {
        let known = self.versions.iter().map(|(version, _)| *version);
        if self.hosts[host].stands_still {
            return;
        }
        let usable: Vec<_> = known.filter(|version| self.hosts[host].listed.contains(version)).collect();
        let Some(version) = usable.get(version % usable.len().max(1)).copied() else { return };
        self.streams.push(Stream { version, began: self.now });
        self.pass_on(host, stream(self.streams.len() as u64 - 1), version, lost, delay);
    }

    /// A host passes on the first event, and tells the hosts that it reaches unless the message is lost.
    fn pass_on(&mut self, host: usize, stream: StreamKey, version: &str, lost: u8, delay: Duration) {
        let Some(tag) = self.hosts[host].origins.begin(stream, &at(version), 1) else { return };
        let reached = self.reached_by(host);
        let told = reached.into_iter().filter(|other| lost & (1 << other) == 0);
        let due = self.now + delay;
        self.messages.extend(told.map(|other| (due, other, stream, tag)));
    }

    fn reached_by(&self, host: usize) -> Vec<usize> {
        let side = self.hosts[host].side;
        let is_reached = |other: &usize| {
            let Host { side: of_other, stands_still, .. } = self.hosts[*other];
            *other != host && of_other == side && !stands_still
        };
        (0..self.hosts.len()).filter(is_reached).collect()
    }

    /// A caller takes up a stream at a host, which must go on at its version if anybody who is reached knows it.
    fn take_up(&mut self, number: usize, host: usize, lost: u8) {
        let Some(Stream { version, began }) = self.streams.get(number) else { return };
        let (version, is_over) = (*version, began.saturating_add(TIMEOUT) < self.now);
        if is_over || self.hosts[host].listed.is_empty() || self.hosts[host].stands_still {
            return;
        }
        let (key, service) = (stream(number as u64), service_tag(SERVICE));
        let mut certainty = Questions::default();
        let answering: Vec<_> =
            self.reached_by(host).into_iter().filter(|other| lost & (1 << other) == 0).collect();
        certainty.ask(key, answering.iter().map(|other| addr(*other)));
        for other in answering {
            let is_current = self.now <= self.hosts[other].read_at + MAX_LIST_AGE;
            match self.hosts[other].origins.version_of(key) {
                Some(tag) => self.hosts[host].origins.hear(key, tag),
                None => certainty.hear(
                    addr(other),
                    key,
                    self.hosts[other].origins.certainty(self.now, service, is_current),
                ),
            }
        }
        let is_read = self.hosts[host].reaches_store;
        if is_read {
            let registered: Vec<_> = self.versions.iter().map(|(version, _)| *version).collect();
            observe(&mut self.hosts[host].origins, self.now, &registered);
        }
        let origins = &self.hosts[host].origins;
        let found = origins.continuation(self.now, Some(key), &[SERVICE], is_read, certainty.close(key));
        match found {
            Ok(found) => {
                assert_eq!(&*found.version, version, "a stream goes on at another version");
                // Without a server of the version, there is nothing to choose and the stream does not go on.
                if self.versions.iter().any(|(v, _)| *v == version) {
                    self.streams[number].began = self.now;
                    self.pass_on(host, key, version, 0, ms(0));
                }
            }
            Err(Discontinued::Unknown) => {
                assert_eq!(origins.known(key), None, "a stream that is known does not go on");
            }
            Err(Discontinued::Unconfirmed) => assert!(!is_read, "a host that has read is not certain"),
            Err(reason) => assert_eq!(reason, Discontinued::Gone, "a version that no list has had lately"),
        }
    }

    fn kill(&mut self, host: usize) {
        let mut origins = Origins::new(self.now);
        origins.set_timeout(TIMEOUT);
        origins.learn_registered(self.registered.iter().map(|mixed| &*mixed.service));
        let Host { reaches_store, side, .. } = self.hosts[host];
        let (listed, registered, read_at) = (Vec::new(), Vec::new(), self.now);
        let (stands_still, late_until) = (false, self.now);
        self.hosts[host] =
            Host { origins, listed, read_at, reaches_store, registered, side, stands_still, late_until };
        self.messages.retain(|(_, to, ..)| *to != host);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Begin { host, version, lost, delay_ms } => self.begin(host, version, lost, ms(delay_ms)),
            Event::TakeUp { stream, host, lost } => {
                let newest = self.streams.len().saturating_sub(3);
                self.take_up(newest + stream, host, lost);
            }
            Event::Kill { host } => self.kill(host),
            Event::KillAll => (0..self.hosts.len()).for_each(|host| self.kill(host)),
            Event::Cut { host, side, reaches_store } => {
                self.hosts[host].side = side;
                self.hosts[host].reaches_store = reaches_store;
            }
            Event::StandStill { host } => self.hosts[host].stands_still = true,
            Event::GoOn { host } => self.hosts[host].stands_still = false,
            Event::Late { host, by_ms } => {
                // An answer that is later than a list may be old is an outage of the store for this host.
                let by = ms(by_ms).min((self.hosts[host].read_at + MAX_LIST_AGE).saturating_sub(self.now));
                self.hosts[host].late_until = self.now + by;
            }
            Event::Heal => {
                let heal = |h: &mut Host| (h.side, h.reaches_store, h.stands_still) = (0, true, false);
                self.hosts.iter_mut().for_each(heal);
            }
            Event::Start { version } => {
                if !self.versions.iter().any(|(v, _)| *v == VERSIONS[version]) {
                    self.versions.push((VERSIONS[version], self.now));
                }
            }
            Event::Leave { version } if self.versions.len() > 1 => {
                let has_served = |at: Duration| at + MAX_LIST_AGE <= self.now || at == ms(0);
                self.versions.retain(|(v, at)| *v != VERSIONS[version] || !has_served(*at));
            }
            Event::Leave { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(48), ..ProptestConfig::default() })]

    /// Guards against a stream with events of two versions, and against one that does not go on although a host that is
    /// reached knows its version.
    #[test]
    fn a_stream_goes_on_at_its_version_or_not_at_all(events in prop::collection::vec((prop_oneof![4 => 0..300u64, 1 => 0..9_000u64], event()), 1..80)) {
        let mut search = Search::new();
        for (gap_ms, event) in events {
            search.advance(ms(gap_ms));
            search.apply(event);
            search.read_lists();
        }
    }
}

/// Lifetime of a stream in the tests of saved streams, so that a part lasts for a second.
const PARTS_LIFETIME: Duration = Duration::from_secs(PARTS - 1);

/// Guards against streams that are forgotten before they are too old to be taken up, because a part is replaced too soon, also by
/// another host that goes on in its place.
#[test]
fn saved_streams_last_for_their_lifetime_across_hosts() {
    let (mut saved, mut part) = (BTreeMap::new(), Part::default());
    let lifetime_ms = PARTS_LIFETIME.as_millis() as u64;
    for at in (0..3 * lifetime_ms).step_by(500) {
        let now = ms(1_000_000_000 + at);
        if at % 7_000 == 0 {
            part = Part::default();
        }
        assert!(part.add(now, PARTS_LIFETIME, StreamKey(at), 7));
        saved.extend(part.take_unsaved("a"));

        let known: BTreeSet<_> =
            saved.values().flat_map(SavedStreams::unpack).map(|(key, _)| key.0).collect();
        let young = (at.saturating_sub(lifetime_ms) / 500 * 500..=at).step_by(500);
        assert_eq!(young.filter(|key| !known.contains(key)).collect::<Vec<_>>(), Vec::<u64>::new());
    }
    assert_eq!(saved.len() as u64, PARTS);
}

/// Guards against streams that are not saved because the store failed just when their period ended.
#[test]
fn streams_that_could_not_be_saved_are_saved_later() {
    let (mut part, start) = (Part::default(), Duration::from_secs(1_000_000));
    part.add(start, PARTS_LIFETIME, StreamKey(1), 7);
    part.take_unsaved("a");
    part.note_failed();

    part.add(start + Duration::from_millis(1_500), PARTS_LIFETIME, StreamKey(2), 8);
    let (_, saved) = part.take_unsaved("a").unwrap();

    assert_eq!(saved.unpack().collect::<BTreeSet<_>>(), [(StreamKey(1), 7), (StreamKey(2), 8)].into());
    assert!(part.take_unsaved("a").is_none());
}

/// Guards against streams that another writer made up, or bytes that stop a host that reads them.
#[test]
fn saved_streams_that_cannot_be_read_are_left_out() {
    let texts = [
        r#"{}"#,
        r#"{"begun":[]}"#,
        r#"{"begun":[{"version":7,"streams":"xyz"}]}"#,
        r#"{"begun":[{"version":7,"streams":"zzzzzzzzzzzzzzzz"}]}"#,
        "{\"begun\":[{\"version\":7,\"streams\":\"äöüäöüäöüäöüäöü\"}]}",
    ];
    for text in texts {
        let saved: SavedStreams = serde_json::from_str(text).unwrap();

        assert_eq!(saved.unpack().count(), 0, "{text}");
    }
    let half = r#"{"begun":[{"version":7,"streams":"000000000000000f00000000"}]}"#;
    let saved: SavedStreams = serde_json::from_str(half).unwrap();
    assert_eq!(saved.unpack().collect::<Vec<_>>(), [(StreamKey(15), 7)]);
}
