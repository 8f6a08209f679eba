//! Where an error stands in a text.

use rstest::rstest;
use stageyoke_types::text_offset;

#[rstest]
#[case(1, 1, 0)]
#[case(2, 1, 3)]
#[case(2, 2, 4)]
#[case(9, 9, 5)]
#[case(0, 0, 0)]
fn a_line_and_column_name_a_byte(#[case] line: usize, #[case] column: usize, #[case] at: usize) {
    assert_eq!(text_offset("ab\ncd", line, column), at);
}
