//! Measurements of a group of workspaces, and what hosts tell each other of them.

use std::{f64::consts::LN_2, sync::Arc, time::Duration};

use super::{OverShare, max_min::MaxMin};
use crate::{
    relay::measurements::{Key, Measurements, Topic},
    util::{Instant, Map, decay},
};

/// Half-life of measured rates. A host receives a few requests per second for a service; a shorter one would leave a sample
/// of one or two, and a longer one would delay the response to a surge.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Time after the last request with a chance of refusal during which a group counts as short of capacity.
const SHORT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of demands that a host tells for a group; a message has 24 amounts for all topics.
const MAX_TOLD_DEMANDS: usize = 8;
/// Maximum number of admitted rates that a host tells for a group; only the log line uses them.
const MAX_TOLD_ADMITTED: usize = 2;
/// Maximum of an amount of the other hosts as a multiple of this host's own requests in the group, in fleets of up to half
/// as many hosts; in larger ones it is twice the number of hosts.
const MAX_OTHERS_FACTOR: f64 = 100.0;
/// Interval of the reports on workspaces over their share, and their maximum number for a group.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REPORTED: usize = 8;
/// Lower bound of the mean chance of refusal by which the present one is divided.
const MIN_MEAN_CHANCE: f64 = 0.01;
/// Mean chance of refusal up to which shares are those at the mean, and from which they are those at the present chance.
const BY_MEAN_RANGE: (f64, f64) = (0.7, 0.9);
/// Maximum number of expected refusals that are carried over to the next requests of a workspace, so that few requests are
/// refused after the end of a shortage.
const MAX_CARRIED: f64 = 2.0;
/// Maximum number of workspaces of a group; further ones get no shares.
const MAX_WORKSPACES: usize = 4_096;
/// Rate below which a workspace is forgotten, in requests per minute.
const MIN_RATE: f64 = 0.1;

/// A sum that decays.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    fn add(&mut self, now: Instant, value: f64) {
        self.sum = self.at(now) + value;
        self.at = now;
    }

    fn at(self, now: Instant) -> f64 {
        self.sum * decay(now.saturating_sub(self.at), HALF_LIFE)
    }

    fn per_minute(self, now: Instant) -> f64 {
        self.at(now) * LN_2 * 60.0 / HALF_LIFE.as_secs_f64()
    }
}

#[derive(Clone, Debug)]
struct Workspace {
    name: Arc<str>,
    demand: DecayingSum,
    admitted: DecayingSum,
    /// Expected refusals that are still to be made.
    carried: DecayingSum,
}

/// What the other hosts tell of a group, in requests per minute.
#[derive(Clone, Copy, Debug)]
pub(super) struct Others<'a> {
    pub(super) arrivals: u32,
    /// Of these, what admission control would admit.
    pub(super) admitted: u32,
    /// The demands that are told, by workspace.
    pub(super) demands: &'a [(Key, u32)],
}

/// Workspaces whose requests admission control treats alike.
#[derive(Clone, Debug)]
pub(super) struct Group {
    service: Arc<str>,
    workspaces: Map<Key, Workspace>,
    arrivals: DecayingSum,
    /// Requests that admission control would refuse.
    refusals: DecayingSum,
    /// When a request last had a chance of refusal.
    short_at: Option<Instant>,
    /// Demand over all hosts; `None` while the service is not short of capacity.
    shares: Option<MaxMin>,
    /// Mean chance of refusal over all hosts.
    refused: f64,
    /// Keys whose amounts from other hosts exceeded the maximum.
    bounded: Vec<Key>,
    told: Vec<(Topic, Key)>,
    reported_at: Option<Instant>,
}

impl Group {
    pub(super) fn new(service: &Arc<str>) -> Self {
        Self {
            service: service.clone(),
            workspaces: Map::default(),
            arrivals: DecayingSum::default(),
            refusals: DecayingSum::default(),
            short_at: None,
            shares: None,
            refused: 0.0,
            bounded: Vec::new(),
            told: Vec::new(),
            reported_at: None,
        }
    }

    /// Records a request that admission control would refuse with this chance.
    pub(super) fn record_arrival(&mut self, now: Instant, key: Key, name: &str, chance: f64) {
        self.arrivals.add(now, 1.0);
        self.refusals.add(now, chance.clamp(0.0, 1.0));
        if chance > 0.0 {
            self.short_at = Some(now);
        }
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(&key) {
            return;
        }
        let new = || Workspace {
            name: name.into(),
            demand: DecayingSum::default(),
            admitted: DecayingSum::default(),
            carried: DecayingSum::default(),
        };
        self.workspaces.entry(key).or_insert_with(new).demand.add(now, 1.0);
    }

    /// Records that a request was admitted.
    pub(super) fn record_admitted(&mut self, now: Instant, key: Key) {
        if let Some(workspace) = self.workspaces.get_mut(&key) {
            workspace.admitted.add(now, 1.0);
        }
    }

    /// Forgets the workspaces that have not sent requests for some seconds; returns whether others are left.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        self.workspaces.retain(|_, w| w.demand.per_minute(now) >= MIN_RATE);
        !self.workspaces.is_empty()
    }

    /// Makes the group count as not short of capacity.
    pub(super) fn end_shortage(&mut self) {
        self.short_at = None;
        self.shares = None;
    }

    /// Whether the service is short of capacity for the group.
    pub(super) fn is_short(&self, now: Instant) -> bool {
        self.short_at.is_some_and(|at| at + SHORT_PERIOD >= now)
    }

    /// Rate of requests that admission control would admit, per minute.
    fn admitted(&self, now: Instant) -> f64 {
        (self.arrivals.per_minute(now) - self.refusals.per_minute(now)).max(0.0)
    }

    /// Mean chance of refusal, half of it over all hosts, which is steady, and half of this host, which follows a surge at
    /// once.
    fn mean_chance(&self) -> f64 {
        let own = self.refusals.sum / self.arrivals.sum.max(f64::MIN_POSITIVE);
        f64::midpoint(self.refused, own).clamp(MIN_MEAN_CHANCE, 1.0)
    }

    /// Chance of refusal of a workspace in place of the one for all, and whether it asks for more than its share; `None`
    /// while shares are not known.
    ///
    /// The chance for all varies widely from request to request, since a host estimates the load of all from its own few
    /// requests. Shares are therefore those at its mean, and scaled to its present value. What exceeds a certain refusal
    /// is carried over to the next requests of the workspace, so that the mean is kept. Under severe overload, when most
    /// requests are refused, shares at the present chance are used instead: they follow the load without delay.
    pub(super) fn chance(&mut self, now: Instant, key: Key, of_all: f64) -> Option<(f64, bool)> {
        let mean = self.mean_chance();
        let shares = self.shares.as_ref()?;
        let (at_mean, present) = (shares.chance(key, mean), of_all.clamp(0.0, 1.0));
        let by_mean = ((BY_MEAN_RANGE.1 - mean) / (BY_MEAN_RANGE.1 - BY_MEAN_RANGE.0)).clamp(0.0, 1.0);
        let wanted = by_mean * present * (at_mean / mean) + (1.0 - by_mean) * shares.chance(key, present);
        let Some(workspace) = self.workspaces.get_mut(&key) else {
            return Some((wanted.min(1.0), at_mean > 0.0));
        };
        let wanted = wanted + workspace.carried.at(now);
        let chance = wanted.min(1.0);
        workspace.carried = DecayingSum { sum: (wanted - chance).min(MAX_CARRIED), at: now };
        Some((chance, at_mean > 0.0))
    }

    /// Share at the mean chance of refusal.
    fn share(&self, shares: &MaxMin) -> f64 {
        shares.share(1.0 - self.mean_chance())
    }

    /// Sets what this host tells the others of the group, which is nothing unless it is short of capacity.
    pub(super) fn tell(&mut self, now: Instant, group: Key, measurements: &mut Measurements) {
        for (topic, key) in self.told.drain(..) {
            measurements.set(topic, key, 0);
        }
        if !self.is_short(now) {
            return;
        }
        let rates = |rate: fn(&Workspace) -> DecayingSum| {
            let rates = self.workspaces.iter().map(|(key, w)| (rate(w).per_minute(now) as u32, *key));
            let mut rates: Vec<_> = rates.collect();
            rates.sort_unstable_by_key(|(rate, key)| (std::cmp::Reverse(*rate), *key));
            rates
        };
        let mut amounts = vec![
            (Topic::Arrivals, self.arrivals.per_minute(now) as u32, group),
            (Topic::WorkspaceAdmitted, self.admitted(now) as u32, group),
        ];
        let demands = rates(|w| w.demand).into_iter().take(MAX_TOLD_DEMANDS);
        amounts.extend(demands.map(|(rate, key)| (Topic::WorkspaceDemand, rate, key)));
        let admitted = rates(|w| w.admitted).into_iter().take(MAX_TOLD_ADMITTED);
        amounts.extend(admitted.map(|(rate, key)| (Topic::WorkspaceAdmitted, rate, key)));
        for (topic, rate, key) in amounts {
            measurements.set(topic, key, rate);
            self.told.push((topic, key));
        }
    }

    /// Computes the demand over all hosts: this host's own and what the others tell.
    pub(super) fn update(&mut self, now: Instant, hosts: usize, others: &Others) {
        let own = self.arrivals.per_minute(now);
        let max = own * MAX_OTHERS_FACTOR.max(2.0 * hosts as f64);
        let bounded = |value: u32| f64::from(value).min(max);
        let demands = self.workspaces.iter().map(|(key, w)| (*key, w.demand.per_minute(now)));
        let mut demands: Map<Key, f64> = demands.collect();
        for &(key, value) in others.demands {
            *demands.entry(key).or_default() += bounded(value);
        }
        let exceeds = |(_, value): &&(Key, u32)| f64::from(*value) > max;
        self.bounded = others.demands.iter().filter(exceeds).map(|(key, _)| *key).collect();
        let total = own + bounded(others.arrivals);
        self.refused = 1.0 - ((self.admitted(now) + bounded(others.admitted)) / total).min(1.0);
        self.shares = Some(MaxMin::new(demands, total));
    }

    /// The workspaces over their share, the largest first.
    pub(super) fn report(&mut self, now: Instant, measurements: &Measurements) -> Vec<OverShare> {
        let Some(shares) = &self.shares else { return Vec::new() };
        if self.reported_at.is_some_and(|at| at + REPORT_INTERVAL > now) {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let share = self.share(shares);
        let mut over: Vec<_> = shares.demands().filter(|(_, demand)| *demand > share).collect();
        over.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
        let report = |(key, demand): (Key, f64)| {
            let own = self.workspaces.get(&key);
            let others = f64::from(measurements.of_others(Topic::WorkspaceAdmitted, key));
            OverShare {
                service: self.service.clone(),
                workspace: own.map_or_else(|| format!("{key:08x}").into(), |w| w.name.clone()),
                demand,
                admitted: others + own.map_or(0.0, |w| w.admitted.per_minute(now)),
                share,
                is_bounded: self.bounded.contains(&key),
            }
        };
        over.into_iter().take(MAX_REPORTED).map(report).collect()
    }
}
