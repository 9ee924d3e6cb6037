//! Conditional writes whose response may be lost: retried until the outcome is known.

use super::WriteOutcome;
use crate::catalog::AnyObject;

/// Next step of a pending write.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this conditional write.
    Send(AnyObject),
    /// The write took effect and stored this object.
    Done(AnyObject),
    /// Another write came first. Contains the current object, if it exists.
    Conflict(Option<AnyObject>),
    /// No attempt got a response; the write may still take effect.
    Unknown,
}

/// Conditional write whose outcome is not yet known.
///
/// Handles a response that is lost after the write took effect. A plain retry would then conflict with the first
/// attempt, and the operator would see a conflict with another writer that does not exist. Retries are safe because a
/// conditional write takes effect at most once. Each write contains a nonce, and the nonce of the object that a
/// conflict returns shows which writer wrote it.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    obj: AnyObject,
    attempts_left: u32,
    unanswered: bool,
}

impl PendingWrite {
    /// Creates a write of `obj` with `nonce` and at most `attempts_left` attempts.
    pub fn new(mut obj: AnyObject, nonce: impl Into<String>, attempts_left: u32) -> Self {
        obj.metadata.writer_nonce = nonce.into();
        Self { obj, attempts_left, unanswered: false }
    }

    /// Returns the step that sends the next attempt, or [`Step::Unknown`] if no attempts are left.
    pub fn next_attempt(&mut self) -> Step {
        if self.attempts_left == 0 {
            return Step::Unknown;
        }
        self.attempts_left -= 1;
        Step::Send(self.obj.clone())
    }

    /// Handles the outcome of an attempt and returns the next step.
    pub fn handle_outcome(&mut self, outcome: WriteOutcome) -> Step {
        match outcome {
            WriteOutcome::Done(obj) => Step::Done(obj),
            WriteOutcome::Conflict(Some(obj)) if self.is_own_write(&obj) => Step::Done(obj),
            WriteOutcome::Conflict(obj) => Step::Conflict(obj),
            WriteOutcome::Unknown => {
                self.unanswered = true;
                self.next_attempt()
            }
        }
    }

    /// Whether an earlier attempt got no response. A conflict may then follow a write of ours that took effect and was
    /// overwritten since.
    pub fn was_unanswered(&self) -> bool {
        self.unanswered
    }

    fn is_own_write(&self, obj: &AnyObject) -> bool {
        self.unanswered && obj.metadata.writer_nonce == self.obj.metadata.writer_nonce
    }
}
