//! Conversion of claims to and from the messages between routers.

use super::{
    AttemptId, ClaimRequest, ContentDigest, DIGEST_BYTES, KeyDigest, Record, StoredResponse, Verdict,
};
use crate::schema::claim::{self as wire, ClaimAnswer, ClaimAsk, Decision};

/// A message or stored object that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

pub(crate) fn bytes16(bytes: &[u8]) -> Result<[u8; DIGEST_BYTES], Malformed> {
    bytes.try_into().map_err(|_| Malformed)
}

impl From<&Record> for wire::ClaimRecord {
    fn from(record: &Record) -> Self {
        match record {
            Record::Unknown => Self::default(),
            Record::Completed(a) => Self {
                known: true,
                status: a.status.into(),
                content_type: a.content_type.clone(),
                body: a.body.clone(),
            },
        }
    }
}

impl TryFrom<wire::ClaimRecord> for Record {
    type Error = Malformed;

    fn try_from(raw: wire::ClaimRecord) -> Result<Self, Malformed> {
        if !raw.known {
            return Ok(Record::Unknown);
        }
        let status = raw.status.try_into().map_err(|_| Malformed)?;
        Ok(Record::Completed(StoredResponse { status, content_type: raw.content_type, body: raw.body }))
    }
}

impl From<&Verdict> for ClaimAnswer {
    fn from(verdict: &Verdict) -> Self {
        let decision = match verdict {
            Verdict::Granted => Decision::Granted,
            Verdict::Recorded(_) => Decision::Recorded,
            Verdict::Pending => Decision::Pending,
            Verdict::Unknown => Decision::Unknown,
            Verdict::Conflict => Decision::Conflict,
            Verdict::Expired => Decision::Expired,
            Verdict::Unavailable => Decision::Unavailable,
        };
        let record = match verdict {
            Verdict::Recorded(answered) => Some((&Record::Completed(answered.clone())).into()),
            _ => None,
        };
        Self { decision: decision.into(), record }
    }
}

impl TryFrom<ClaimAnswer> for Verdict {
    type Error = Malformed;

    fn try_from(raw: ClaimAnswer) -> Result<Self, Malformed> {
        match Decision::try_from(raw.decision).map_err(|_| Malformed)? {
            Decision::Granted => Ok(Verdict::Granted),
            Decision::Pending => Ok(Verdict::Pending),
            Decision::Unknown => Ok(Verdict::Unknown),
            Decision::Conflict => Ok(Verdict::Conflict),
            Decision::Expired => Ok(Verdict::Expired),
            Decision::Unavailable => Ok(Verdict::Unavailable),
            Decision::Noted => Err(Malformed),
            Decision::Recorded => match raw.record.ok_or(Malformed)?.try_into()? {
                Record::Completed(answered) => Ok(Verdict::Recorded(answered)),
                Record::Unknown => Err(Malformed),
            },
        }
    }
}

impl ClaimRequest {
    /// Message form of the request; `ticket` is empty for a key that the caller chose freely.
    pub fn to_message(&self, ticket: String) -> ClaimAsk {
        ClaimAsk {
            key: self.key.0.to_vec(),
            content: self.content.0.to_vec(),
            attempt: self.attempt.0.to_vec(),
            look: self.lookup_only,
            ticket,
        }
    }

    /// Builds a request from the digests in a message.
    ///
    /// # Errors
    /// If one of them does not have [`DIGEST_BYTES`] bytes.
    pub fn from_bytes(
        key: &[u8],
        content: &[u8],
        attempt: &[u8],
        lookup_only: bool,
    ) -> Result<Self, Malformed> {
        Ok(Self {
            key: KeyDigest(bytes16(key)?),
            content: ContentDigest(bytes16(content)?),
            attempt: AttemptId(bytes16(attempt)?),
            lookup_only,
        })
    }
}
