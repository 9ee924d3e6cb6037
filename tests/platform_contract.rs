//! Contract tests of the platform's object API: each file in `contract/platform` is a sequence of calls, faults and
//! expected answers.

use std::{net::TcpListener, path::Path, sync::Arc, time::Duration};

use cranberrytally::{
    catalog::{AnyObject, Object},
    http::{Limits, Server},
    objects::{
        Event, NextEvent, OpenedWatch, Platform, Version, WriteOutcome,
        calls::{Class, Outcome, Rate, Rates},
    },
    schema::object::Meta,
    standin::platform::{Faults, PlatformStandin},
};
use rand::{SeedableRng, rngs::StdRng};
use serde::Deserialize;

const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an event after which a watch counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[allow(dead_code, reason = "documentation for readers of the file")]
    story: String,
    #[serde(default)]
    reads_per_second: Option<f64>,
    steps: Vec<Step>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Step {
    call: String,
    kind: String,
    name: String,
    version: String,
    value: String,
    /// Number of repetitions of `value`.
    repeat: usize,
    times: usize,
    from: Version,
    faults: Faults,
    /// Expected outcome of the call.
    expect: String,
    expect_value: Option<String>,
    expect_names: Option<Vec<String>>,
    expect_version: Option<Version>,
}

fn object(step: &Step) -> AnyObject {
    let metadata =
        Meta { name: step.name.clone(), resource_version: step.version.clone(), ..Meta::default() };
    let value = step.value.repeat(step.repeat.max(1));
    Object { kind: step.kind.clone(), metadata, spec: serde_json::json!({ "value": value }) }
}

fn check_object(step: &Step, obj: &AnyObject) {
    if let Some(want) = &step.expect_value {
        assert_eq!(obj.spec["value"].as_str(), Some(want.as_str()));
    }
    if let Some(want) = step.expect_version {
        assert_eq!(obj.metadata.resource_version, want.to_string());
    }
}

fn check_write(step: &Step, write: anyhow::Result<WriteOutcome>) {
    let got = match &write {
        Ok(WriteOutcome::Done(_)) => "done",
        Ok(WriteOutcome::Conflict(Some(_))) => "conflict",
        Ok(WriteOutcome::Conflict(None)) => "conflict with nothing",
        Ok(WriteOutcome::Unknown) => "unknown",
        Err(_) => "not written",
    };
    assert_eq!(got, step.expect, "{write:?}");
    if let Ok(WriteOutcome::Done(obj) | WriteOutcome::Conflict(Some(obj))) = &write {
        check_object(step, obj);
    }
}

async fn read_events(step: &Step, platform: &Platform) -> Option<Vec<Event>> {
    let OpenedWatch::Open(mut watch) = platform.watch(step.from).await.unwrap() else { return None };
    let want = step.expect_names.as_ref().map_or(0, Vec::len);
    let mut events = Vec::new();
    while events.len() < want {
        match watch.next_within(EVENT_TIMEOUT).await.unwrap() {
            NextEvent::Changed(event) => events.push(event),
            other => panic!("no event arrived in time: {other:?}"),
        }
    }
    watch.close();
    Some(events)
}

struct Fixture {
    platform: Platform,
    standin: Arc<PlatformStandin>,
    rng: StdRng,
}

impl Fixture {
    async fn run(&mut self, step: &Step) {
        match step.call.as_str() {
            "faults" => self.standin.set_faults(step.faults.clone()),
            "freeze" => self.standin.freeze(),
            "thaw" => self.standin.thaw(),
            "forget history" => self.standin.compact_history(),
            "put" => check_write(step, self.platform.put(&object(step)).await),
            "put resolved" => {
                check_write(step, self.platform.put_with_retries(object(step), &mut self.rng).await);
            }
            "delete" => check_write(step, self.platform.delete(&object(step)).await),
            "get" => self.check_get(step).await,
            "list" => self.check_list(step).await,
            "watch" => self.check_watch(step).await,
            "deaf watch" => self.check_silent_watch(step).await,
            "dropped watch" => self.check_closed_watch().await,
            "count limited" => self.check_count(step, Outcome::LimitedByServer),
            "count held" => self.check_count(step, Outcome::LimitedByClient),
            other => panic!("unknown call: {other}"),
        }
    }

    async fn check_get(&self, step: &Step) {
        for _ in 0..step.times.max(1) {
            let got = self.platform.get(&step.kind, &step.name).await;
            let outcome = match &got {
                Ok(Some(_)) => "found",
                Ok(None) => "absent",
                Err(_) => "no answer",
            };
            assert_eq!(outcome, step.expect, "{got:?}");
            if let Ok(Some(obj)) = &got {
                check_object(step, obj);
            }
        }
    }

    async fn check_list(&self, step: &Step) {
        let list = match step.kind.as_str() {
            "" => self.platform.list().await,
            kind => self.platform.list_kind(kind).await,
        };
        let list = list.unwrap();
        let names: Vec<_> = list.items.iter().map(|o| o.metadata.name.clone()).collect();
        assert_eq!(Some(&names), step.expect_names.as_ref());
        if let Some(want) = step.expect_version {
            assert_eq!(list.version, want);
        }
    }

    async fn check_watch(&self, step: &Step) {
        let events = read_events(step, &self.platform).await;
        let Some(events) = events else { return assert_eq!(step.expect, "too old") };
        let signed_name =
            |e: &Event| format!("{}{}", if e.deleted { "-" } else { "+" }, e.object.metadata.name);
        let names: Vec<_> = events.iter().map(signed_name).collect();
        assert_eq!(Some(&names), step.expect_names.as_ref());
        assert!(events.iter().is_sorted_by(|a, b| a.version < b.version));
    }

    async fn check_closed_watch(&self) {
        let from = self.platform.list().await.unwrap().version;
        let OpenedWatch::Open(mut watch) = self.platform.watch(from).await.unwrap() else {
            panic!("too old")
        };
        self.standin.close_watches();
        assert_eq!(watch.next_within(EVENT_TIMEOUT).await.unwrap(), NextEvent::Ended);
    }

    /// Checks that an open watch counts as silent if the platform does not send it a change. A later step of the case
    /// checks that a new watch gets the change on opening.
    async fn check_silent_watch(&self, step: &Step) {
        let from = self.platform.list().await.unwrap().version;
        let OpenedWatch::Open(mut watch) = self.platform.watch(from).await.unwrap() else {
            panic!("too old")
        };
        self.standin.set_faults(Faults { deaf: true, ..Faults::default() });
        check_write(step, self.platform.put(&object(step)).await);
        assert_eq!(watch.next_within(SILENCE_TIMEOUT).await.unwrap(), NextEvent::Idle);
        watch.close();
    }

    fn check_count(&self, step: &Step, outcome: Outcome) {
        let counts = self.platform.counts().all();
        let n = counts.get(&(Class::Read, outcome)).copied().unwrap_or(0);
        assert!(n >= step.times as u64, "only {n} calls");
    }
}

fn case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
    tokio::runtime::Runtime::new()?.block_on(async {
        let standin = Arc::new(PlatformStandin::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server =
            Server::start(listener, 1, Limits::default().with_max_body_bytes(4 << 20), standin.clone())?;
        let mut rates = Rates::default();
        if let Some(rate) = case.reads_per_second {
            rates = rates.with_reads(Rate { rate, burst: 1.0 });
        }
        let platform = Platform::with_rates(server.addr(), rates);
        let mut fixture = Fixture { platform, standin, rng: StdRng::seed_from_u64(7) };
        for step in &case.steps {
            fixture.run(step).await;
        }
        server.close();
        Ok(())
    })
}

datatest_stable::harness! {
    { test = case, root = "tests/contract/platform", pattern = r"\.yaml$" },
}
