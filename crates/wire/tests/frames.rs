//! Tests that frames and statuses survive encoding and decoding, and that other
//! input is rejected without a panic.

use std::time::Duration;

use base::{Failure, Remedy, Verdict};
use googletest::prelude::*;
use proptest::prelude::*;
use wire::{CallReply, ForwardedCall, Frame, PeerReply, PeerRequest, failure_of, status_of};

fn frames() -> Vec<Frame> {
    let call = ForwardedCall {
        path: "/a.B/C".into(),
        attempt: "entry-1-0".into(),
        once_id: Some("order".into()),
        left_ms: 100,
        max_wait_ms: 50,
        body: vec![0, 1, 255].into(),
    };
    let answer = CallReply {
        body: vec![1, 2].into(),
        code: 5,
        message: "no".to_owned(),
        load: Default::default(),
    };
    vec![
        Frame::Hello { instance: "entry-1".into() },
        Frame::Heartbeat(Default::default()),
        Frame::Config { version: 7, body: vec![9; 10].into() },
        Frame::Request { id: 1, ask: PeerRequest::Call(call) },
        Frame::Request { id: 2, ask: PeerRequest::Status },
        Frame::Reply { id: 1, answer: Ok(PeerReply::Call(answer)) },
        Frame::Reply { id: 2, answer: Err(Failure::unknown("broke")) },
    ]
}

#[gtest]
fn decoding_returns_the_encoded_frame() {
    for frame in frames() {
        let decoded = Frame::decode(&frame.encode());
        expect_that!(decoded.ok(), some(eq(&frame)));
    }
}

#[gtest]
fn truncated_and_overlong_frames_are_rejected() {
    for frame in frames() {
        let bytes = frame.encode();
        for end in 0..bytes.len() {
            expect_that!(Frame::decode(&bytes[..end]).is_err(), eq(true));
        }
        expect_that!(Frame::decode(&[&bytes[..], &[0]].concat()).is_err(), eq(true));
    }
}

#[gtest]
fn failure_round_trips_through_a_status() {
    let failures = [
        Failure::invalid("wrong"),
        Failure::denied("no key"),
        Failure::not_found("nothing"),
        Failure::conflict("raced"),
        Failure::busy(Duration::from_millis(1500), "full"),
        Failure::unknown("cut"),
        Failure::ran("too large"),
    ];
    for failure in failures {
        expect_that!(failure_of(&status_of(&failure)), eq(&failure));
    }
}

#[gtest]
fn status_without_a_verdict_may_have_run() {
    let failure = failure_of(&tonic::Status::unavailable("connection reset"));
    expect_that!(failure.verdict, eq(Verdict::MayHaveRun));
    expect_that!(failure.remedy, eq(Remedy::Reconcile));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn changed_byte_does_not_panic(
        which in 0..7usize,
        at in any::<prop::sample::Index>(),
        with in any::<u8>(),
    ) {
        let mut bytes = frames()[which].encode().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = with;
        let _ = Frame::decode(&bytes);
    }
}
