//! Changes of a schema that break its callers.

use std::fmt;

use base::Result;
use prost_reflect::MessageDescriptor;

use crate::method::pool_of;

/// A `BreakingChange` is one change that clients generated from the old schema would
/// not survive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakingChange {
    /// A method is gone.
    Removed(String),
    /// A method takes or gives another message.
    Retyped(String),
    /// A field's number now means something else.
    Field(String),
}

impl fmt::Display for BreakingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed(name) => write!(f, "{name}: the method was removed"),
            Self::Retyped(name) => write!(f, "{name}: the message type changed"),
            Self::Field(name) => write!(f, "{name}: the field's type or cardinality changed"),
        }
    }
}

/// Gets what in `new` breaks clients of `old`; both are descriptor sets.
///
/// # Errors
/// Fails if either is no descriptor set.
pub fn breaking_changes(old: &[u8], new: &[u8]) -> Result<Vec<BreakingChange>> {
    let old = pool_of(old)?;
    let new = pool_of(new)?;
    let mut found = Vec::new();
    for method in old.services().flat_map(|service| service.methods().collect::<Vec<_>>()) {
        let name = method.full_name();
        let service = new.get_service_by_name(method.parent_service().full_name());
        let twin = service.and_then(|s| s.methods().find(|m| m.name() == method.name()));
        match twin {
            None => found.push(BreakingChange::Removed(name.to_owned())),
            Some(twin)
                if twin.input().full_name() != method.input().full_name()
                    || twin.output().full_name() != method.output().full_name() =>
            {
                found.push(BreakingChange::Retyped(name.to_owned()));
            }
            Some(_) => {}
        }
    }
    for message in old.all_messages() {
        if let Some(twin) = new.get_message_by_name(message.full_name()) {
            found.extend(field_breaks(&message, &twin));
        }
    }
    Ok(found)
}

fn field_breaks(old: &MessageDescriptor, new: &MessageDescriptor) -> Vec<BreakingChange> {
    let differs = |number, kind: &str, list| {
        new.get_field(number)
            .is_some_and(|twin| format!("{:?}", twin.kind()) != kind || twin.is_list() != list)
    };
    old.fields()
        .filter(|field| differs(field.number(), &format!("{:?}", field.kind()), field.is_list()))
        .map(|field| BreakingChange::Field(field.full_name().to_owned()))
        .collect()
}
