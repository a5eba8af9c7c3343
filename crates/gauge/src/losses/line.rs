//! Parsing of log lines.

use base::Event;
use serde_json::Value;

pub(super) const LEAD_ACQUIRED: u64 = Event::LeadAcquired.code() as u64;
pub(super) const REQUEST_REFUSED: u64 = Event::RequestRefused.code() as u64;

/// Log line: a JSON object, optionally after a time and a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the line in seconds: the number before the JSON object if there is
    /// one, otherwise the time of day of the `ts` field.
    pub at_s: f64,
    /// Event number.
    pub event: u64,
    fields: Value,
}

impl Line {
    /// Parses a line. Returns `None` for a line without an event number or a time.
    pub fn parse(text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let event = fields.get("event")?.as_u64()?;
        let time = before.split_whitespace().next().and_then(|word| word.parse().ok());
        let at_s = time.or_else(|| seconds_of_day(fields.get("ts")?.as_str()?))?;
        Some(Self { at_s, event, fields })
    }

    /// Returns the value of a string field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of an unsigned integer field.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }
}

/// Returns the seconds since midnight of a time such as
/// `2026-05-21T07:58:08.014Z`.
fn seconds_of_day(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(next()? * 3600.0 + next()? * 60.0 + next()?)
}
