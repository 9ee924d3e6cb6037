//! A conditional write whose answer may be lost: sent again or read back until its outcome is known.

use super::WriteOutcome;
use crate::catalog::AnyObject;

/// What to do next about a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this conditional write.
    Send(AnyObject),
    /// It is in force as this object.
    Done(AnyObject),
    /// Another write came first; the object as it is now, if it exists.
    Conflict(Option<AnyObject>),
    /// Every try went unanswered; it may still take effect.
    Unknown,
}

/// One conditional write on its way.
///
/// Guards against an answer that is lost after the write took effect. Without it, the writer would send again, meet
/// its own write and tell the operator of a conflict with somebody else. Each write carries a nonce: the same
/// conditional write can be sent again without harm, since it takes effect at most once, and the object that a
/// conflict returns shows by its nonce whose write it was.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    obj: AnyObject,
    tries: u32,
    unanswered: bool,
}

impl PendingWrite {
    /// Write of `obj` under `nonce`, tried at most `tries` times.
    pub fn new(mut obj: AnyObject, nonce: impl Into<String>, tries: u32) -> Self {
        obj.metadata.writer_nonce = nonce.into();
        Self { obj, tries, unanswered: false }
    }

    /// First step.
    pub fn start(&mut self) -> Step {
        if self.tries == 0 {
            return Step::Unknown;
        }
        self.tries -= 1;
        Step::Send(self.obj.clone())
    }

    /// Step after an answer or its absence.
    pub fn answered(&mut self, write: WriteOutcome) -> Step {
        match write {
            WriteOutcome::Done(obj) => Step::Done(obj),
            WriteOutcome::Conflict(Some(obj)) if self.is_mine(&obj) => Step::Done(obj),
            WriteOutcome::Conflict(obj) => Step::Conflict(obj),
            WriteOutcome::Unknown => {
                self.unanswered = true;
                self.start()
            }
        }
    }

    /// Whether an earlier try went unanswered, so that a conflict may hide that it had been in force for a while.
    pub fn was_unanswered(&self) -> bool {
        self.unanswered
    }

    fn is_mine(&self, obj: &AnyObject) -> bool {
        self.unanswered && obj.metadata.writer_nonce == self.obj.metadata.writer_nonce
    }
}
