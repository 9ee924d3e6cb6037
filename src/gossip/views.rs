//! Tells the other modules which routers and engines there are.

use super::{Shared, lock};
use crate::{
    catalog::Id,
    entry::{Candidate, Router},
    follow::Peer,
    member::{Member, Membership, Status},
    place::members::Member as Placing,
    util::now,
};

impl Shared {
    /// Tells the modules that answer at once: entry answers, configuration, engines in use.
    pub(super) fn refresh(&self) {
        let Some((candidates, peers, engines)) = self.with(|m| {
            let now = now();
            let candidates: Vec<_> = m.table().iter().map(|x| candidate(m, x)).collect();
            (candidates, peers(m), m.engines.take_changed(now))
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
        self.note_versions();
        for view in engines {
            self.gateway.note_engine(&view);
        }
    }

    /// Tells the configuration which versions its peers have.
    pub(super) fn note_versions(&self) {
        let versions = self.with(|m| {
            let others = m.table().iter().filter(|x| x.record.name != m.me().name && x.in_force > 0);
            others.map(|x| (x.record.name.clone(), x.in_force)).collect::<Vec<_>>()
        });
        for (name, version) in versions.unwrap_or_default() {
            self.follow.note_version(&name, version);
        }
    }

    /// Tells placement among which routers the engines are shared out.
    pub(super) async fn tell_placement(&self) {
        let Some(list) = self.with(|m| {
            let now = now();
            let owns = |x: &&Member| {
                let r = &x.record;
                r.ready && r.status != Status::Leaving && m.reachable(now, x)
            };
            m.table().iter().filter(owns).map(placing).collect::<Vec<_>>()
        }) else {
            return;
        };
        self.gateway.set_members(list).await;
    }
}

fn candidate(m: &Membership, x: &Member) -> Candidate {
    let r = &x.record;
    let router = Router {
        name: r.name.clone(),
        addr: r.http,
        data_centre: r.data_centre.clone(),
        region: r.region.clone(),
    };
    let serves = r.ready && r.status == Status::Alive && m.reachable(now(), x);
    Candidate { router, serves, leaving: matches!(r.status, Status::Leaving | Status::Left) }
}

fn peers(m: &Membership) -> Vec<Peer> {
    let others = m.table().iter().filter(|x| !x.record.status.gone() && x.record.name != m.me().name);
    others
        .map(|x| Peer {
            name: x.record.name.clone(),
            data_centre: x.record.data_centre.clone(),
            addr: Some(x.record.http),
            peer_addr: x.record.peer,
            leaving: x.record.status == Status::Leaving,
        })
        .collect()
}

fn placing(x: &Member) -> Placing {
    let r = &x.record;
    Placing {
        id: Id::of(&r.name),
        data_centre: r.data_centre.clone(),
        region: r.region.clone(),
        peer: r.peer,
        addr: r.http,
    }
}
