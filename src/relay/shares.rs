//! Fair shares between workspaces over all hosts: whose requests are refused while a service is short of capacity.
//!
//! Load: one workspace sends nine times its usual load while a third of the servers is lost. Admission control refuses
//! the requests of all workspaces with the same chance, so that the other workspaces lose as large a part of their
//! service as the one that causes the shortage.
//!
//! Here that chance is turned into one for each workspace. The fraction that admission control would admit is divided
//! between the workspaces by their demand over all hosts ([`max_min`]): workspaces below the share are not refused, and
//! the excess of the others is refused at random. The expected number of refusals stays the same, so that the limit on the
//! service's occupancy works as before. Requests that admission control treats differently by rank form groups, and
//! shares apply within a group.
//!
//! Demand is always measured, but told to other hosts only while the service is short of capacity. A message has room for
//! few amounts, so that each host tells the largest demands of a group and the total of the group; the difference counts
//! as workspaces with the smallest known demand. In small fleets and for services with capacity nothing changes.

use std::sync::Arc;

use super::{
    admission::MAX_RANK,
    measurements::{Key, Measurements, Topic},
};
use crate::util::{Instant, Map, hash};
use group::{Group, Others};

mod group;
pub mod max_min;

/// Smallest fleet in which shares apply. In a smaller one each host has enough requests for the limits of its own.
const MIN_HOSTS: usize = 16;
/// Maximum number of groups; further ones get no shares.
const MAX_GROUPS: usize = 256;
/// Bits of a key that identify the workspace; the others identify the group. Two workspaces with the same bits share one
/// demand, which befalls a given pair once in 262,144.
const WORKSPACE_BITS: u32 = 18;

/// Who sends a request, and to which service.
#[derive(Clone, Copy, Debug)]
pub struct Requester<'a> {
    /// Service that was chosen.
    pub service: &'a Arc<str>,
    /// Workspace of the caller; empty without an API key.
    pub workspace: &'a str,
    /// Rank of the workspace, or of the route if the workspace has none.
    pub rank: u32,
    /// Rank of the route.
    pub route_rank: u32,
}

impl Requester<'_> {
    /// Key of the group: the service and the ranks by which admission control tells requests apart.
    pub fn group(self) -> Key {
        let ranks = (self.rank.min(MAX_RANK), self.route_rank.min(MAX_RANK));
        hash((&**self.service, ranks)) as Key >> WORKSPACE_BITS
    }

    /// Key of the workspace within all groups.
    pub fn key(self) -> Key {
        self.group() << WORKSPACE_BITS | (hash(self.workspace) as Key & ((1 << WORKSPACE_BITS) - 1))
    }
}

/// A workspace that asks for more than its share; rates are in requests per minute over all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct OverShare {
    /// The service.
    pub service: Arc<str>,
    /// The workspace, or its key if this host has had no request of it.
    pub workspace: Arc<str>,
    /// Requests that arrive.
    pub demand: f64,
    /// Requests that are admitted, of the hosts that tell it.
    pub admitted: f64,
    /// The share.
    pub share: f64,
    /// Whether the amount told by other hosts was too large to be believed.
    pub is_bounded: bool,
}

/// Numbers of requests to services that are short of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// Requests of workspaces that ask for more than their share.
    pub over_share: u64,
    /// Requests of the others.
    pub within_share: u64,
}

impl ShareCounts {
    /// Labels of the counter.
    pub const LABELS: [&'static str; 2] = ["over_share", "within_share"];

    /// Counts in the order of the labels.
    pub fn values(self) -> [u64; 2] {
        [self.over_share, self.within_share]
    }
}

/// Demand and shares of the workspaces of all services.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Number of hosts of the fleet.
    hosts: usize,
    groups: Map<Key, Group>,
    counts: ShareCounts,
}

impl Shares {
    /// Records that a request arrives for which admission control has computed a chance of refusal, and returns the chance
    /// to use instead.
    pub fn chance(&mut self, now: Instant, from: Requester, of_all: f64) -> f64 {
        let (group, key) = (from.group(), from.key());
        if self.hosts < MIN_HOSTS || (self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group)) {
            return of_all;
        }
        let group = self.groups.entry(group).or_insert_with(|| Group::new(from.service));
        group.record_arrival(now, key, from.workspace, of_all);
        let Some((chance, is_over)) = group.chance(now, key, of_all) else { return of_all };
        self.counts.over_share += u64::from(is_over);
        self.counts.within_share += u64::from(!is_over);
        chance
    }

    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, now: Instant, from: Requester) {
        if let Some(group) = self.groups.get_mut(&from.group()) {
            group.record_admitted(now, from.key());
        }
    }

    /// Sets what this host tells the others, and computes the shares from what they have told. Called a few times per
    /// second, so that a request only looks up its share.
    pub fn update(&mut self, now: Instant, hosts: usize, measurements: &mut Measurements) {
        self.hosts = hosts;
        let mut demands: Map<Key, Vec<(Key, u32)>> = Map::default();
        if self.groups.values().any(|group| group.is_short(now)) {
            for (key, value) in measurements.amounts_of_others(Topic::WorkspaceDemand) {
                demands.entry(key >> WORKSPACE_BITS).or_default().push((key, value));
            }
        }
        for (key, group) in &mut self.groups {
            if hosts < MIN_HOSTS || !group.is_short(now) {
                group.end_shortage();
            }
            group.tell(now, *key, measurements);
            if group.is_short(now) {
                let others = Others {
                    arrivals: measurements.of_others(Topic::Arrivals, *key),
                    admitted: measurements.of_others(Topic::WorkspaceAdmitted, *key),
                    demands: demands.get(key).map_or(&[], |told| told),
                };
                group.update(now, hosts, &others);
            }
        }
        self.groups.retain(|_, group| group.expire(now));
    }

    /// Workspaces that ask for more than their share, at most once per second for each group.
    pub fn report(&mut self, now: Instant, measurements: &Measurements) -> Vec<OverShare> {
        self.groups.values_mut().flat_map(|group| group.report(now, measurements)).collect()
    }

    /// Numbers of requests since the last call.
    pub fn take_counts(&mut self) -> ShareCounts {
        std::mem::take(&mut self.counts)
    }
}
