//! Decoding of bounded types: round trips, and errors instead of panics on forged input.

use nanoserde::{DeBin, SerBin};
use proptest::prelude::*;
use stageyoke_types::{List, ProgramKey, Text};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn list_of_text_round_trips(items in proptest::collection::vec(".{0,200}", 0..50)) {
        let list: List<Text> = items.iter().map(|item| Text::from(item.as_str())).collect();
        let decoded = List::<Text>::deserialize_bin(&list.serialize_bin());
        prop_assert_eq!(decoded.expect("decodes its own encoding"), list);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = List::<Text>::deserialize_bin(&bytes);
        let _ = List::<u64>::deserialize_bin(&bytes);
        let _ = ProgramKey::deserialize_bin(&bytes);
    }
}

#[test]
fn a_length_beyond_the_input_is_an_error() {
    let bytes = [0xff, 0xff, 0xff, 0xff, 0x0f];
    assert!(List::<u64>::deserialize_bin(&bytes).is_err());
    assert!(Text::deserialize_bin(&bytes).is_err());
}
