//! Claims of one shard with a fake platform: retention, archives, releases and a change of owner.

use std::{collections::BTreeMap, time::Duration};

use cranberrytally::{
    catalog::AnyObject,
    claim::{
        AttemptId, ClaimRequest, Clock, ContentDigest, KeyDigest, Record, StoredResponse, Verdict,
        shard::{ARCHIVE_KIND, SHARD_KIND},
        shard_claims::{Op, OpResult, ShardClaims, ShardClaimsConfig},
        ticket_claims::{Step, TicketClaims},
    },
    objects::WriteOutcome,
};

const HOUR: Duration = Duration::from_secs(3600);
const NAME: &str = "claims-1";

#[derive(Default)]
struct Store {
    objects: BTreeMap<(String, String), AnyObject>,
    version: u64,
    largest: usize,
}

impl Store {
    fn call(&mut self, op: Op) -> OpResult {
        let key = |kind: &str, name: &str| (kind.to_owned(), name.to_owned());
        match op {
            Op::Read => OpResult::Read(self.objects.get(&key(SHARD_KIND, NAME)).cloned()),
            Op::ReadArchive(name) => OpResult::Read(self.objects.get(&key(ARCHIVE_KIND, &name)).cloned()),
            Op::Delete(obj) => {
                let key = key(&obj.kind, &obj.metadata.name);
                let same = |o: &AnyObject| o.metadata.resource_version == obj.metadata.resource_version;
                if self.objects.get(&key).is_some_and(same) {
                    self.objects.remove(&key);
                }
                OpResult::Write(WriteOutcome::Conflict(None))
            }
            Op::Write(mut obj) => {
                let key = key(&obj.kind, &obj.metadata.name);
                let current = self.objects.get(&key);
                if current.map_or("", |o| &o.metadata.resource_version) != obj.metadata.resource_version {
                    return OpResult::Write(WriteOutcome::Conflict(current.cloned()));
                }
                self.version += 1;
                obj.metadata.resource_version = self.version.to_string();
                self.largest = self.largest.max(serde_json::to_vec(&obj).unwrap().len());
                self.objects.insert(key, obj.clone());
                OpResult::Write(WriteOutcome::Done(obj))
            }
        }
    }

    fn archives(&self) -> usize {
        self.objects.keys().filter(|(kind, _)| kind == ARCHIVE_KIND).count()
    }
}

/// Claims of one shard with a fake platform and clock.
struct Harness {
    claims: ShardClaims,
    store: Store,
    now: Duration,
    next: u64,
}

fn config() -> ShardClaimsConfig {
    ShardClaimsConfig { retention: 24 * HOUR, ..ShardClaimsConfig::default() }
}

impl Harness {
    fn new() -> Self {
        Self { claims: ShardClaims::new(NAME, "r0", config()), store: Store::default(), now: HOUR, next: 0 }
    }

    fn clock(&self) -> Clock {
        Clock { now: self.now, wall_ms: 1_700_000_000_000 + self.now.as_millis() as u64 }
    }

    /// Another router takes over the shard; the platform keeps its objects.
    fn change_owner(&mut self) {
        self.claims = ShardClaims::new(NAME, "r1", config());
    }

    /// Runs all calls until the claims are idle; returns the verdicts.
    fn settle(&mut self) -> BTreeMap<u64, Verdict> {
        let mut verdicts = BTreeMap::new();
        for _ in 0..10_000 {
            if let Some(op) = self.claims.next_op(self.clock()) {
                let done = self.store.call(op);
                verdicts.extend(self.claims.handle_result(self.clock(), done));
                continue;
            }
            verdicts.extend(self.claims.expire(self.clock()));
            let Some(at) = self.claims.wake_at() else { return verdicts };
            self.now = self.now.max(at) + Duration::from_millis(1);
        }
        panic!("the claims never become idle");
    }

    fn ask(&mut self, ask: ClaimRequest) -> Verdict {
        self.next += 1;
        let id = self.next;
        let at_once = self.claims.request_claim(self.clock(), ask, id);
        at_once.unwrap_or_else(|| self.settle().remove(&id).unwrap())
    }

    fn run(&mut self, ask: ClaimRequest) {
        assert_eq!(self.ask(ask), Verdict::Granted);
        self.claims.finish(self.clock(), &ask, Record::Completed(response(10)), false);
    }
}

fn ask(key: u64, attempt: u64) -> ClaimRequest {
    let attempt = KeyDigest::new("", "", &attempt.to_string()).0;
    ClaimRequest {
        key: KeyDigest::new("w", "s", &key.to_string()),
        content: ContentDigest::new("POST", "/hold", b"tour"),
        attempt: AttemptId(attempt),
        lookup_only: false,
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse { status: 200, content_type: "text/plain".into(), body: Some(vec![b'-'; size]) }
}

/// A client sends its old booking again after a day offline. Within the retention period it gets the recorded response;
/// after that the record has been removed and the key counts as new, as the guarantee states.
#[test]
fn a_key_is_protected_for_the_retention_period() {
    let mut harness = Harness::new();
    harness.run(ask(1, 1));
    harness.settle();

    harness.now += 24 * HOUR;
    let within = harness.ask(ask(1, 2));
    harness.now += HOUR;
    harness.run(ask(2, 3));
    let after = harness.ask(ask(1, 4));

    assert_eq!(within, Verdict::Recorded(response(10)));
    assert_eq!(after, Verdict::Granted);
}

/// The owner of a shard with thousands of bookings crashes. The new owner must load all claims before it grants one,
/// including those in archives. No object may exceed the platform's limit of one megabyte.
#[test]
fn a_new_owner_loads_archived_claims() {
    let mut harness = Harness::new();
    for key in 0..3000 {
        let request = ask(key, key);
        if let Some(verdict) = harness.claims.request_claim(harness.clock(), request, 100_000 + key) {
            panic!("{verdict:?}");
        }
        if key % 100 == 99 {
            harness.settle();
            for key in key - 99..=key {
                let record = Record::Completed(response(1024));
                harness.claims.finish(harness.clock(), &ask(key, key), record, false);
            }
        }
    }
    harness.settle();
    let archives = harness.store.archives();

    harness.change_owner();
    let verdicts: Vec<_> = (0..3000).step_by(50).map(|key| harness.ask(ask(key, 9_000_000 + key))).collect();

    assert!(archives > 2, "{archives} archives");
    assert!(verdicts.iter().all(|v| *v == Verdict::Recorded(response(1024))), "{verdicts:?}");
    assert!(harness.store.largest < 1 << 20, "{} bytes", harness.store.largest);
}

/// Archives in which all claims are past the retention period are deleted from the platform.
#[test]
fn old_archives_are_deleted() {
    let mut harness = Harness::new();
    for key in 0..2000 {
        assert_eq!(harness.claims.request_claim(harness.clock(), ask(key, key), 100_000 + key), None);
    }
    harness.settle();
    let before = harness.store.archives();

    harness.now += 26 * HOUR;
    harness.run(ask(5000, 1));
    harness.settle();

    assert!(before > 0);
    assert_eq!((harness.store.archives(), harness.claims.len()), (0, 1));
}

/// A router releases a claim, and then its own request arrives late, as a duplicate. If the claim were granted to that
/// attempt, nobody would run the key and the caller's next attempt would be refused.
#[test]
fn a_delayed_request_of_a_released_attempt_gets_no_claim() {
    let mut harness = Harness::new();
    let (request, two) = (ask(1, 1), ask(1, 2));
    assert_eq!(harness.ask(request), Verdict::Granted);

    harness.claims.release(harness.clock(), request.key, request.attempt);
    let late = harness.ask(request);
    let next = harness.ask(two);

    assert_eq!((late, next), (Verdict::Unavailable, Verdict::Granted));
}

/// The owner of a shard changes between a claim and its record. The new owner receives the record without having the
/// claim in memory, and must not lose it: a repeat would get "unknown" for a booking that was made.
#[test]
fn a_record_reaches_a_new_owner() {
    let mut harness = Harness::new();
    let request = ask(1, 1);
    assert_eq!(harness.ask(request), Verdict::Granted);

    harness.change_owner();
    harness.claims.finish(harness.clock(), &request, Record::Completed(response(3)), false);
    harness.settle();
    harness.change_owner();
    let repeat = harness.ask(ask(1, 2));

    assert_eq!(repeat, Verdict::Recorded(response(3)));
}

/// A ticket has expired. New keys under it are no longer granted from memory, because a key that was already used may
/// have been evicted from it.
#[test]
fn an_expired_ticket_accepts_no_new_key() {
    let mut local = TicketClaims::default();
    let clock = Harness::new().clock();
    assert_eq!(local.request_claim(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(local.apply_shard_verdict(&ask(1, 1), Verdict::Granted), Verdict::Granted);
    local.finish(ask(1, 1).key, ask(1, 1).attempt, Record::Completed(response(1)));

    let used_key = local.request_claim(clock, &ask(1, 2), false);
    let new = local.request_claim(clock, &ask(2, 3), false);

    assert_eq!(used_key, Step::Answer(Verdict::Recorded(response(1))));
    assert_eq!(new, Step::Lookup);
}

/// Before a planned shutdown a router lets other routers decide on its tickets' keys. From then on it may grant only
/// what the shard has granted, and it must not hand the keys over at all if it ever granted one from memory.
#[test]
fn a_closed_process_grants_nothing_from_memory() {
    let clock = Harness::new().clock();
    let mut stored_only = TicketClaims::default();
    assert_eq!(stored_only.request_claim(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(stored_only.request_claim(clock, &ask(2, 2), true), Step::Record);
    let mut memory_granted = TicketClaims::default();
    assert_eq!(memory_granted.request_claim(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(memory_granted.apply_shard_verdict(&ask(1, 1), Verdict::Unavailable), Verdict::Granted);

    let closed = (stored_only.close(), memory_granted.close());

    assert_eq!(closed, (true, false));
    assert_eq!(stored_only.apply_shard_verdict(&ask(1, 1), Verdict::Granted), Verdict::Granted);
    assert_eq!(stored_only.apply_shard_verdict(&ask(2, 2), Verdict::Unavailable), Verdict::Unavailable);
}
