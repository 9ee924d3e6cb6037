//! Rejects heads of answers that hyper's client takes for sound though no server wrote them as one.

use http::{Response, header};
use hyper::ext::ReasonPhrase;

/// How a status line begins; a digit, a space and the status follow.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Whether a head can be passed on or read further.
pub(super) fn is_sound<B>(res: &Response<B>) -> bool {
    // hyper's client skips all informational answers but a switch of protocols, which no request asks for.
    !res.status().is_informational() && is_one_head(res) && is_decoded(res)
}

/// Whether the body is read as the server meant it: hyper's client decodes chunks and leaves other transfer codings as they are.
fn is_decoded<B>(res: &Response<B>) -> bool {
    let mut codings = res.headers().get_all(header::TRANSFER_ENCODING).iter();
    codings.all(|coding| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Whether the head belongs to one answer: a head that broke off takes the next one on its connection into its status line or a
/// header, so that its status counts for the next answer.
fn is_one_head<B>(res: &Response<B>) -> bool {
    let reason = res.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = res.headers().values().map(|value| value.as_bytes());
    !reason.into_iter().chain(values).any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_START.len())
        .enumerate()
        .filter(|(_, window)| *window == STATUS_LINE_START)
        .any(|(at, _)| begins_as_status_line(&text[at + STATUS_LINE_START.len()..]))
}

/// Whether a minor version and a status come first.
fn begins_as_status_line(text: &[u8]) -> bool {
    matches!(text, [minor, b' ', status @ ..] if minor.is_ascii_digit()
        && status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
}
