//! Log lines.

use base::Event;
use serde_json::Value;

pub(super) const LEAD_ACQUIRED: u64 = Event::LeadAcquired.code() as u64;
pub(super) const REQUEST_REFUSED: u64 = Event::RequestRefused.code() as u64;

/// A `Line` is one line of a log: JSON, perhaps behind a time and a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, in seconds: what stands before the JSON, or else the
    /// time of day.
    pub at_s: f64,
    /// Number of the event.
    pub event: u64,
    fields: Value,
}

impl Line {
    /// Reads a line; nothing if it is none of ours.
    pub fn parse(text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let event = fields.get("event")?.as_u64()?;
        let time = before.split_whitespace().next().and_then(|word| word.parse().ok());
        let at_s = time.or_else(|| seconds_of_day(fields.get("ts")?.as_str()?))?;
        Some(Self { at_s, event, fields })
    }

    /// Gets a field that is a text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Gets a field that is a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }
}

/// Gets the seconds since midnight of a time like `2026-05-21T07:58:08.014Z`.
fn seconds_of_day(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(next()? * 3600.0 + next()? * 60.0 + next()?)
}
