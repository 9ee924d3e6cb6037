//! What became of a request.

/// What became of a request; a label of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server's whole answer went out.
    Answered,
    /// It was given up and has not run.
    Refused,
    /// It was given up and may have run.
    Failed,
    /// Its stream was cut.
    Cut,
    /// The caller left first.
    CallerLeft,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Outcome; 5] =
        [Outcome::Answered, Outcome::Refused, Outcome::Failed, Outcome::Cut, Outcome::CallerLeft];

    /// Label in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::CallerLeft => "caller_left",
        }
    }

    /// Label in the histogram of whole answers, by the form of the answer.
    pub fn label(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Outcome::Answered, true) => "stream_answered",
            (Outcome::Answered, false) => "plain_answered",
            (_, true) => "stream_failed",
            (_, false) => "plain_failed",
        }
    }
}
