//! Options of a simulation: weakenings of the protocol, storage of claims, and faults.

use super::Ms;

/// A step of the protocol that is omitted or wrong, to verify that the schedules detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakening {
    /// The protocol as it is.
    None,
    /// Claims are granted before they are durable.
    GrantAtOnce,
    /// Writes to the platform are not conditional.
    Unconditional,
    /// A write whose answer was lost is treated as successful.
    LostIsDone,
    /// A claim without a record expires, like a lock with a lease.
    ClaimsRunOut,
    /// A grant that arrives after the router's timeout is used.
    LateGrant,
    /// Any router grants the keys of another router's ticket.
    TicketAnywhere,
    /// A router that stops hands over its tickets' keys although it granted some from memory.
    HandOverAnyway,
    /// A broken connection is reported as "not run".
    BrokenIsNotRun,
    /// An answer is matched to any waiting request instead of by its identifier.
    UncheckedAnswer,
}

impl Weakening {
    pub const ALL: [Weakening; 9] = [
        Weakening::GrantAtOnce,
        Weakening::Unconditional,
        Weakening::LostIsDone,
        Weakening::ClaimsRunOut,
        Weakening::LateGrant,
        Weakening::TicketAnywhere,
        Weakening::HandOverAnyway,
        Weakening::BrokenIsNotRun,
        Weakening::UncheckedAnswer,
    ];
}

/// Storage of claims on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStorage {
    /// The given number of shards, each with an owner.
    Shards(u16),
    /// A log for each router.
    RouterLogs,
    /// An object for each key.
    ObjectPerKey,
}

/// Probabilities of faults in thousandths, and ranges of delays in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub platform_ms: (Ms, Ms),
    pub lose_call: u32,
    pub lose_answer: u32,
    pub late_effect: u32,
    pub link_ms: (Ms, Ms),
    pub lose_frame: u32,
    pub repeat_frame: u32,
    pub late_frame: u32,
    pub connect_fails: u32,
    pub break_before: u32,
    pub break_after: u32,
    pub late_answer: u32,
}

impl Faults {
    /// No faults: 5 ms to the platform, 1 ms on links.
    pub fn none() -> Self {
        Self {
            platform_ms: (4, 6),
            lose_call: 0,
            lose_answer: 0,
            late_effect: 0,
            link_ms: (1, 2),
            lose_frame: 0,
            repeat_frame: 0,
            late_frame: 0,
            connect_fails: 0,
            break_before: 0,
            break_after: 0,
            late_answer: 0,
        }
    }

    /// All faults.
    pub fn many() -> Self {
        Self {
            platform_ms: (2, 60),
            lose_call: 60,
            lose_answer: 120,
            late_effect: 80,
            link_ms: (1, 20),
            lose_frame: 60,
            repeat_frame: 80,
            late_frame: 60,
            connect_fails: 60,
            break_before: 40,
            break_after: 80,
            late_answer: 60,
        }
    }
}
