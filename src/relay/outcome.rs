//! The final outcome of a request.

/// The final outcome of a request; a label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer of a backend server was sent.
    Answered,
    /// It was given up and has not run.
    Refused,
    /// It was given up and may have run.
    Failed,
    /// Its stream ended before it was complete.
    Cut,
    /// The caller closed the connection first.
    CallerLeft,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 5] =
        [Outcome::Answered, Outcome::Refused, Outcome::Failed, Outcome::Cut, Outcome::CallerLeft];

    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::CallerLeft => "caller_left",
        }
    }

    /// Label in the histogram of complete answers, by kind of answer.
    pub fn label(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Outcome::Answered, true) => "stream_answered",
            (Outcome::Answered, false) => "plain_answered",
            (_, true) => "stream_failed",
            (_, false) => "plain_failed",
        }
    }
}
