//! Byte offsets of line and column numbers.

use rstest::rstest;
use stageyoke_types::text_offset;

#[rstest]
#[case(1, 1, 0)]
#[case(2, 1, 3)]
#[case(2, 2, 4)]
#[case(9, 9, 5)]
#[case(0, 0, 0)]
fn a_line_and_column_map_to_a_byte_offset(
    #[case] line: usize,
    #[case] column: usize,
    #[case] offset: usize,
) {
    assert_eq!(text_offset("ab\ncd", line, column), offset);
}
