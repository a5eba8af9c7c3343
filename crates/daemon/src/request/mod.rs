//! What lives for one request.

mod admit;
mod answer;
mod attempt;
mod auth;
mod call;
mod control;
mod dispatch;
mod jobs;
mod placer;

pub(crate) use answer::answer;
pub(crate) use dispatch::{dispatch, routes};
