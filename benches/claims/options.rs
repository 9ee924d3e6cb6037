//! What a world can be set to: weakenings, ways to keep claims, faults.

use super::Ms;

/// A step of the protocol left out or done wrong, to show that the schedules find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakening {
    /// Nothing: the decisions as they are.
    None,
    /// The claim is granted before it is known to be durable.
    GrantAtOnce,
    /// The platform's writes are not conditional.
    Unconditional,
    /// A write whose answer was lost is taken for done.
    LostIsDone,
    /// A claim without a record runs out, as a lock with a lease would.
    ClaimsRunOut,
    /// A grant that comes after the router gave up is used all the same.
    LateGrant,
    /// Keys of a router's ticket are granted by any router.
    TicketAnywhere,
    /// A router that stops hands its tickets' keys over although it granted some from memory.
    HandOverAnyway,
    /// A connection that broke is told as "not run".
    BrokenIsNotRun,
    /// An answer is matched to whoever waits, not by its identifier.
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

/// Where claims are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStorage {
    /// This many shards; each has an owner.
    Shards(u16),
    /// A log of its own for each router.
    RouterLogs,
    /// An object for each key.
    ObjectPerKey,
}

/// Probabilities in thousandths, and delays in milliseconds.
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

    /// All faults at once.
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
