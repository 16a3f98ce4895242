//! Decoding of garbage, truncated messages and messages of newer versions.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use turmeric_schema::{Message, v1};

proptest! {
    #[test]
    fn garbage_is_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = v1::PollRequest::decode(bytes.as_slice());
        let _ = v1::PollReply::decode(bytes.as_slice());
        let _ = v1::LogAppend::decode(bytes.as_slice());
        let _ = v1::PartitionSnapshot::decode(bytes.as_slice());
    }

    #[test]
    fn truncated_poll_is_rejected_or_decoded_in_part(cut in 0..60_usize) {
        let poll = v1::PollRequest {
            agent: "w1.00000001".to_owned(),
            incarnation: 1_796_338_007_977,
            settings_version: 9,
            ..v1::PollRequest::default()
        };
        let mut bytes = poll.encode_to_vec();
        bytes.truncate(cut);
        if let Ok(decoded) = v1::PollRequest::decode(bytes.as_slice()) {
            prop_assert!(decoded.incarnation == 0 || decoded.incarnation == poll.incarnation);
        }
    }
}

#[test]
fn unknown_field_of_a_newer_version_is_ignored() {
    let poll = v1::PollRequest {
        agent: "w1".to_owned(),
        ..v1::PollRequest::default()
    };
    let mut bytes = poll.encode_to_vec();
    // Field 2000 with three bytes, which is not in the schema.
    bytes.extend([0x82, 0x7d, 3, 1, 2, 3]);
    assert_eq!(v1::PollRequest::decode(bytes.as_slice()).unwrap(), poll);
}
