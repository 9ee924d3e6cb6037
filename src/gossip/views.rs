//! Passes the current routers and engines to other modules.

use std::sync::atomic::Ordering;

use super::{Shared, lock};
use crate::{
    catalog::Id,
    entry::{Candidate, Router},
    follow::Peer,
    member::{Member, Membership, Status},
    place::members::Member as PlacementMember,
    util::now,
};

impl Shared {
    /// Updates the entry directory, the gateway's routers and engines, and the peers of the configuration follower.
    pub(super) fn refresh_views(&self) {
        let Some((candidates, peers, engines)) = self.with(|m| {
            let now = now();
            let candidates: Vec<_> = m.table().iter().map(|member| candidate(m, member)).collect();
            let peers = if m.is_settled(now) { peers(m) } else { Vec::new() };
            (candidates, peers, m.engines.take_changed(now))
        }) else {
            return;
        };
        let routers = {
            let mut directory = lock(&self.directory);
            directory.update(now(), candidates);
            directory.routers()
        };
        self.gateway.set_routers(routers);
        if !peers.is_empty() {
            self.follow.set_peers(peers);
        }
        self.report_peer_versions();
        for view in engines {
            self.gateway.apply_engine_view(&view);
        }
    }

    /// Reports the versions in force at other routers to the configuration follower.
    pub(super) fn report_peer_versions(&self) {
        let versions = self.with(|m| {
            let others =
                m.table().iter().filter(|member| member.record.name != m.me().name && member.in_force > 0);
            others.map(|member| (member.record.name.clone(), member.in_force)).collect::<Vec<_>>()
        });
        for (name, version) in versions.unwrap_or_default() {
            self.follow.record_peer_version(&name, version);
        }
    }

    /// Updates the routers among which placement distributes the engines.
    pub(super) async fn update_placement(&self) {
        let Some(list) = self.with(|m| {
            let now = now();
            let is_owner = |member: &&Member| {
                let r = &member.record;
                r.ready && r.status != Status::Leaving && m.reachable(now, member)
            };
            m.table().iter().filter(is_owner).map(placement_member).collect::<Vec<_>>()
        }) else {
            return;
        };
        // A router that has not met any peer owns every engine anyway; its list does not describe the fleet yet.
        if list.len() < 2 && !self.has_met_peers.load(Ordering::Relaxed) {
            return;
        }
        self.has_met_peers.store(true, Ordering::Relaxed);
        self.gateway.set_members(list).await;
    }
}

fn candidate(m: &Membership, member: &Member) -> Candidate {
    let r = &member.record;
    let router = Router {
        name: r.name.clone(),
        addr: r.http,
        data_centre: r.data_centre.clone(),
        region: r.region.clone(),
    };
    let serves = r.ready && r.status == Status::Alive && m.reachable(now(), member);
    Candidate { router, serves, leaving: matches!(r.status, Status::Leaving | Status::Left) }
}

fn peers(m: &Membership) -> Vec<Peer> {
    let others = m
        .table()
        .iter()
        .filter(|member| !member.record.status.is_dead_or_left() && member.record.name != m.me().name);
    others
        .map(|member| Peer {
            name: member.record.name.clone(),
            data_centre: member.record.data_centre.clone(),
            addr: Some(member.record.http),
            peer_addr: member.record.peer,
            leaving: member.record.status == Status::Leaving,
        })
        .collect()
}

fn placement_member(member: &Member) -> PlacementMember {
    let r = &member.record;
    PlacementMember {
        id: Id::of(&r.name),
        data_centre: r.data_centre.clone(),
        region: r.region.clone(),
        peer: r.peer,
        addr: r.http,
    }
}
