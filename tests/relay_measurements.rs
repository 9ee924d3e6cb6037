//! Tests the sums over hosts that hosts tell each other beside heartbeats.

use std::{net::SocketAddr, time::Duration};

use cranberrytally::{
    relay::{
        datagram::{Datagram, decode_any},
        measurements::{Measurements, Recorded, Report, Topic, key},
        peers::Scope,
    },
    schema::fleet,
    util::Instant,
};

fn addr(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7000))
}

fn ms(n: u64) -> Instant {
    Duration::from_millis(n)
}

fn host_with(topic: Topic, value: u32) -> Measurements {
    let mut host = Measurements::default();
    host.set(topic, key("llm", "w"), value);
    host
}

#[test]
fn amounts_add_up_over_hosts_and_data_centres() {
    let demand = Topic::WorkspaceDemand;
    let (mut a, mut b, mut c) = (host_with(demand, 5), host_with(demand, 7), host_with(demand, 11));

    a.receive(ms(0), addr(2), Some("north"), "north", &b.message(ms(0), 1, Scope::Host).unwrap());
    let of_south = c.message(ms(0), 1, Scope::DataCentre).unwrap();
    a.receive(ms(0), addr(3), Some("south"), "north", &of_south);

    assert_eq!((a.own(demand, key("llm", "w")), a.of_others(demand, key("llm", "w"))), (5, 18));
    assert_eq!((a.total(demand, key("llm", "w")), a.host_count()), (23, 3));
    assert_eq!(a.message(ms(0), 1, Scope::DataCentre).unwrap().amounts[0].value, 12, "its own data centre's");
}

/// A host that was killed would count for ever, and its requests would keep others from their share.
#[test]
fn a_silent_host_and_an_old_message_do_not_count() {
    let (mut a, mut b) = (Measurements::default(), host_with(Topic::Results, 7));
    let first = b.message(ms(0), 1, Scope::Host).unwrap();
    b.set(Topic::Results, key("llm", "w"), 9);
    let second = b.message(ms(0), 1, Scope::Host).unwrap();

    assert!(a.receive(ms(0), addr(2), None, "north", &second));
    assert!(!a.receive(ms(1), addr(2), None, "north", &first), "overtaken on the way");
    assert_eq!(a.of_others(Topic::Results, key("llm", "w")), 9);

    a.expire(ms(3_002));
    assert_eq!((a.of_others(Topic::Results, key("llm", "w")), a.host_count()), (0, 1));
}

#[test]
fn a_restarted_host_is_counted_anew() {
    let (mut a, mut b) = (Measurements::default(), host_with(Topic::Results, 7));
    let before = b.message(ms(0), 1, Scope::Host).unwrap();
    let after = host_with(Topic::Results, 2).message(ms(0), 2, Scope::Host).unwrap();

    a.receive(ms(0), addr(2), None, "north", &before);
    a.receive(ms(0), addr(2), None, "north", &after);

    assert_eq!(a.of_others(Topic::Results, key("llm", "w")), 2);
}

#[test]
fn the_newest_report_of_a_server_counts_and_expires() {
    let report = |load, at| Report { load, pace_percent: Some(300), at, told_on: true, sent_since: 0 };
    let (mut a, mut b) = (Measurements::default(), Measurements::default());
    b.record_report(1, report(30, ms(1_000)));
    assert_eq!(b.record_report(1, report(5, ms(900))), Recorded::Ignored, "an older one");

    a.merge_reports(ms(1_200), &b.message(ms(1_200), 1, Scope::Host).unwrap().reports);

    let told = a.report(ms(1_200), 1).unwrap();
    assert_eq!((told.load, told.pace_percent, told.at), (30, Some(300), ms(1_000)));
    assert_eq!(a.report(ms(3_100), 1), None);
}

/// A message with huge values, unknown topics and thousands of entries changes no more than its bound, and sums do not wrap.
#[test]
fn hostile_messages_are_bounded() {
    let mut a = Measurements::default();
    let amount = |n| fleet::Amount { topic: if n == 0 { 99 } else { 4 }, key: n, value: u32::MAX };
    let message = |start| fleet::Measurements {
        marker: 2,
        start,
        number: 1,
        hosts: u32::MAX,
        amounts: (0..9_999).map(amount).collect(),
        reports: vec![fleet::ServerReport { backend: 1, load: 1, pace_percent: 0, age_ms: u32::MAX }; 50],
        ..Default::default()
    };

    a.receive(ms(0), addr(2), None, "north", &message(1));
    a.receive(ms(0), addr(3), None, "north", &message(1));
    a.merge_reports(ms(0), &message(1).reports);

    assert_eq!(a.of_others(Topic::Results, 5), u32::MAX);
    assert_eq!(a.of_others(Topic::Results, 500), 0, "past the number of entries of a message");
    assert_eq!(a.report(ms(0), 1), None);
}

#[test]
fn a_message_fits_one_packet_and_is_told_apart_from_heartbeats() {
    let mut a = Measurements::default();
    for n in 0..5_000 {
        a.set(Topic::WorkspaceDemand, n, n + 1);
        a.set(Topic::PromisedReturns, n, 1);
        a.record_report(
            n,
            Report { load: n, pace_percent: Some(500), at: ms(1), told_on: true, sent_since: 0 },
        );
    }

    let message = a.message(ms(1), 1_800_000_000_000, Scope::Host).unwrap();
    let buf = postcard::to_allocvec(&message).unwrap();

    assert!(buf.len() <= 420, "{} bytes", buf.len());
    assert!(message.amounts.iter().any(|a| a.topic == 3), "small amounts of another topic");
    assert_eq!(decode_any(&buf, 1_800_000_000_000), Ok(Datagram::Measurements(message)));
    assert_eq!(Measurements::default().message(ms(1), 1, Scope::Host), None);
}
