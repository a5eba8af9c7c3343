//! State that lives as long as one request.

mod admit;
mod answer;
mod attempt;
mod auth;
mod call;
mod control;
mod dispatch;
mod jobs;
mod placer;

pub(crate) use answer::handle_peer_request;
pub(crate) use dispatch::{dispatch, routes};
