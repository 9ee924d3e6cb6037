//! A shard's book against a small fake of the platform: horizon, archives, releases and a change of owner.

use std::{collections::BTreeMap, time::Duration};

use cranberrytally::{
    catalog::AnyObject,
    claim::{
        AttemptId, ClaimRequest, Clock, ContentDigest, KeyDigest, Record, StoredResponse, Verdict,
        shard::{ARCHIVE_KIND, SHARD_KIND},
        shard_claims::{Op, OpResult, ShardClaims, ShardClaimsConfig},
        ticket_claims::{Step, TicketClaims},
    },
    objects::Write,
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
                OpResult::Write(Write::Conflict(None))
            }
            Op::Write(mut obj) => {
                let key = key(&obj.kind, &obj.metadata.name);
                let current = self.objects.get(&key);
                if current.map_or("", |o| &o.metadata.resource_version) != obj.metadata.resource_version {
                    return OpResult::Write(Write::Conflict(current.cloned()));
                }
                self.version += 1;
                obj.metadata.resource_version = self.version.to_string();
                self.largest = self.largest.max(serde_json::to_vec(&obj).unwrap().len());
                self.objects.insert(key, obj.clone());
                OpResult::Write(Write::Done(obj))
            }
        }
    }

    fn archives(&self) -> usize {
        self.objects.keys().filter(|(kind, _)| kind == ARCHIVE_KIND).count()
    }
}

/// A book, its platform and its clock.
struct Desk {
    book: ShardClaims,
    store: Store,
    now: Duration,
    next: u64,
}

fn config() -> ShardClaimsConfig {
    ShardClaimsConfig { retention: 24 * HOUR, ..ShardClaimsConfig::default() }
}

impl Desk {
    fn new() -> Self {
        Self { book: ShardClaims::new(NAME, "r0", config()), store: Store::default(), now: HOUR, next: 0 }
    }

    fn clock(&self) -> Clock {
        Clock { now: self.now, wall_ms: 1_700_000_000_000 + self.now.as_millis() as u64 }
    }

    /// Another router takes the shard over; the platform stays.
    fn change_owner(&mut self) {
        self.book = ShardClaims::new(NAME, "r1", config());
    }

    /// Runs the book until nothing is left to do; returns the verdicts.
    fn settle(&mut self) -> BTreeMap<u64, Verdict> {
        let mut verdicts = BTreeMap::new();
        for _ in 0..10_000 {
            if let Some(op) = self.book.next_op(self.clock()) {
                let done = self.store.call(op);
                verdicts.extend(self.book.handle_result(self.clock(), done));
                continue;
            }
            verdicts.extend(self.book.expire(self.clock()));
            let Some(at) = self.book.wake_at() else { return verdicts };
            self.now = self.now.max(at) + Duration::from_millis(1);
        }
        panic!("the book never comes to rest");
    }

    fn ask(&mut self, ask: ClaimRequest) -> Verdict {
        self.next += 1;
        let id = self.next;
        let at_once = self.book.ask(self.clock(), ask, id);
        at_once.unwrap_or_else(|| self.settle().remove(&id).unwrap())
    }

    fn run(&mut self, ask: ClaimRequest) {
        assert_eq!(self.ask(ask), Verdict::Granted);
        self.book.finish(self.clock(), &ask, Record::Completed(answered(10)), false);
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

fn answered(size: usize) -> StoredResponse {
    StoredResponse { status: 200, content_type: "text/plain".into(), body: Some(vec![b'-'; size]) }
}

/// A tablet comes back from a day without network and sends its old booking again. Within the horizon it reads the
/// recorded answer; after it the record is gone and the key counts as new, which is what the guarantee states.
#[test]
fn a_key_is_protected_until_the_horizon() {
    let mut desk = Desk::new();
    desk.run(ask(1, 1));
    desk.settle();

    desk.now += 24 * HOUR;
    let within = desk.ask(ask(1, 2));
    desk.now += HOUR;
    desk.run(ask(2, 3));
    let after = desk.ask(ask(1, 4));

    assert_eq!(within, Verdict::Recorded(answered(10)));
    assert_eq!(after, Verdict::Granted);
}

/// A shard has seen thousands of bookings when its owner dies. The new owner must know all of them before it grants
/// one, also those that have moved to archives; no object may pass the platform's limit of a megabyte.
#[test]
fn a_new_owner_knows_archived_claims() {
    let mut desk = Desk::new();
    for key in 0..3000 {
        let one = ask(key, key);
        if let Some(verdict) = desk.book.ask(desk.clock(), one, 100_000 + key) {
            panic!("{verdict:?}");
        }
        if key % 100 == 99 {
            desk.settle();
            for key in key - 99..=key {
                let record = Record::Completed(answered(1024));
                desk.book.finish(desk.clock(), &ask(key, key), record, false);
            }
        }
    }
    desk.settle();
    let archives = desk.store.archives();

    desk.change_owner();
    let verdicts: Vec<_> = (0..3000).step_by(50).map(|key| desk.ask(ask(key, 9_000_000 + key))).collect();

    assert!(archives > 2, "{archives} archives");
    assert!(verdicts.iter().all(|v| *v == Verdict::Recorded(answered(1024))), "{verdicts:?}");
    assert!(desk.store.largest < 1 << 20, "{} bytes", desk.store.largest);
}

/// Archives whose claims are all past the horizon are removed from the platform.
#[test]
fn old_archives_are_deleted() {
    let mut desk = Desk::new();
    for key in 0..2000 {
        assert_eq!(desk.book.ask(desk.clock(), ask(key, key), 100_000 + key), None);
    }
    desk.settle();
    let before = desk.store.archives();

    desk.now += 26 * HOUR;
    desk.run(ask(5000, 1));
    desk.settle();

    assert!(before > 0);
    assert_eq!((desk.store.archives(), desk.book.len()), (0, 1));
}

/// A router gives a booking's claim back, and then its own ask arrives late, a second time. Granted to that attempt,
/// the key would be held for nobody and the guest's next try refused.
#[test]
fn a_late_ask_of_a_released_attempt_holds_nothing() {
    let mut desk = Desk::new();
    let (one, two) = (ask(1, 1), ask(1, 2));
    assert_eq!(desk.ask(one), Verdict::Granted);

    desk.book.release(desk.clock(), one.key, one.attempt);
    let late = desk.ask(one);
    let next = desk.ask(two);

    assert_eq!((late, next), (Verdict::Unavailable, Verdict::Granted));
}

/// The owner changes between a booking's claim and its record. The new owner gets the record without having the
/// claim in memory, and must not lose it: the guest's repeat would read "unknown" for a booking that was made.
#[test]
fn a_record_reaches_a_new_owner() {
    let mut desk = Desk::new();
    let one = ask(1, 1);
    assert_eq!(desk.ask(one), Verdict::Granted);

    desk.change_owner();
    desk.book.finish(desk.clock(), &one, Record::Completed(answered(3)), false);
    desk.settle();
    desk.change_owner();
    let repeat = desk.ask(ask(1, 2));

    assert_eq!(repeat, Verdict::Recorded(answered(3)));
}

/// A ticket has run out. A new key under it is no longer granted from memory, since a key that was used earlier may
/// have been forgotten here.
#[test]
fn a_ticket_that_has_run_out_starts_no_new_key() {
    let mut local = TicketClaims::default();
    let clock = Desk::new().clock();
    assert_eq!(local.ask(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(local.apply_shard_verdict(&ask(1, 1), Verdict::Granted), Verdict::Granted);
    local.finish(ask(1, 1).key, ask(1, 1).attempt, Record::Completed(answered(1)));

    let known = local.ask(clock, &ask(1, 2), false);
    let new = local.ask(clock, &ask(2, 3), false);

    assert_eq!(known, Step::Answer(Verdict::Recorded(answered(1))));
    assert_eq!(new, Step::Lookup);
}

/// A router is about to stop and tells the fleet that its tickets' keys may be decided elsewhere. From then on it may
/// grant only what its shard has granted, and it may not tell so at all if it ever granted from memory.
#[test]
fn a_closed_start_grants_nothing_from_memory() {
    let clock = Desk::new().clock();
    let mut clean = TicketClaims::default();
    assert_eq!(clean.ask(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(clean.ask(clock, &ask(2, 2), true), Step::Record);
    let mut used = TicketClaims::default();
    assert_eq!(used.ask(clock, &ask(1, 1), true), Step::Record);
    assert_eq!(used.apply_shard_verdict(&ask(1, 1), Verdict::Unavailable), Verdict::Granted);

    let closed = (clean.close(), used.close());

    assert_eq!(closed, (true, false));
    assert_eq!(clean.apply_shard_verdict(&ask(1, 1), Verdict::Granted), Verdict::Granted);
    assert_eq!(clean.apply_shard_verdict(&ask(2, 2), Verdict::Unavailable), Verdict::Unavailable);
}
