//! Copy of a response for its idempotency key.

use carobdrum_core::request::{
    FinalOutcome,
    RecordedResponse, //
};
use compact_str::CompactString;
use http::{
    HeaderMap,
    StatusCode, //
};

use super::request_headers::end_to_end;

/// Maximum body length of a response that is recorded under an idempotency key, in bytes.
const MAX_RECORDED_LEN: usize = 64 * 1024;

/// Copies a response that is to be recorded under an idempotency key.
pub(super) struct ResponseRecorder {
    recorded: Option<RecordedResponse>,
}

impl ResponseRecorder {
    /// Creates the copy of a response; without a sequence number nothing is copied.
    pub(super) fn new(
        status: StatusCode,
        headers: &HeaderMap,
        sequence: Option<u64>,
    ) -> ResponseRecorder {
        let recorded = sequence.map(|_| RecordedResponse {
            status: status.as_u16(),
            headers: record_headers(&end_to_end(headers)),
            body: Vec::new(),
        });
        ResponseRecorder { recorded }
    }

    /// Appends a part of the body.
    pub(super) fn add(&mut self, data: &[u8]) {
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        if recorded.body.len() + data.len() > MAX_RECORDED_LEN {
            self.recorded = None;
        } else {
            recorded.body.extend_from_slice(data);
        }
    }

    /// Returns the outcome with the copy, unless the body was too long.
    pub(super) fn outcome(self) -> FinalOutcome {
        self.recorded
            .map_or(FinalOutcome::NotKept, FinalOutcome::Kept)
    }
}

fn record_headers(headers: &HeaderMap) -> Vec<(CompactString, CompactString)> {
    let texts = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    texts.collect()
}
