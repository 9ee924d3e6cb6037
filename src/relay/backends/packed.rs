//! The packed form of a full list of backend servers: names that many entries share are sent once, and addresses and
//! start times as numbers. The fewer bytes a list takes, the sooner it reaches all hosts of a fleet that starts.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use crate::{
    schema::fleet::{Backend, Backends, PackedBackend, PackedBackends},
    util::Map,
};

/// Assigns consecutive positions to names.
#[derive(Default)]
struct Names {
    names: Vec<String>,
    positions: Map<String, u32>,
}

impl Names {
    fn position(&mut self, name: String) -> u32 {
        *self.positions.entry(name).or_insert_with_key(|name| {
            self.names.push(name.clone());
            self.names.len() as u32 - 1
        })
    }
}

/// Packs a list.
pub fn pack(list: Backends) -> PackedBackends {
    let (mut services, mut data_centres) = (Names::default(), Names::default());
    let earliest_start = list.items.iter().map(|b| b.born).filter(|born| *born > 0).min().unwrap_or(0);
    let pack = |b: Backend| {
        let addr = b.addr.parse::<SocketAddrV4>().ok().filter(|addr| addr.port() > 0);
        PackedBackend {
            id: b.id,
            service: services.position(b.service),
            data_centre: data_centres.position(b.data_centre),
            ip: addr.map_or(0, |addr| addr.ip().to_bits()),
            port: addr.map_or(0, |addr| addr.port().into()),
            other_addr: if addr.is_some() { String::new() } else { b.addr },
            slots: b.slots,
            leaving: b.leaving,
            start: if b.born > 0 { b.born - earliest_start + 1 } else { 0 },
            cold_ms: b.cold_ms,
            unconfirmed_ms: b.unconfirmed_ms,
        }
    };
    let items = list.items.into_iter().map(pack).collect();
    PackedBackends {
        epoch: list.epoch,
        revision: list.revision,
        services: services.names,
        data_centres: data_centres.names,
        earliest_start,
        items,
    }
}

/// Unpacks a list; `None` if it is inconsistent: an entry refers to a name that is missing, or has an impossible port or
/// start time.
pub fn unpack(packed: PackedBackends) -> Option<Backends> {
    let PackedBackends { epoch, revision, services, data_centres, earliest_start, items } = packed;
    let unpack = |b: PackedBackend| {
        let addr = match u16::try_from(b.port).ok()? {
            0 => b.other_addr,
            port => SocketAddr::from((Ipv4Addr::from_bits(b.ip), port)).to_string(),
        };
        let born = match b.start {
            0 => 0,
            start => earliest_start.checked_add(start - 1)?,
        };
        Some(Backend {
            id: b.id,
            service: services.get(b.service as usize)?.clone(),
            addr,
            data_centre: data_centres.get(b.data_centre as usize)?.clone(),
            slots: b.slots,
            leaving: b.leaving,
            born,
            cold_ms: b.cold_ms,
            unconfirmed_ms: b.unconfirmed_ms,
            version: String::new(),
        })
    };
    let items = items.into_iter().map(unpack).collect::<Option<Vec<_>>>()?;
    Some(Backends { epoch, revision, items })
}
