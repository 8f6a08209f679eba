//! Conversion of line and column numbers to byte offsets, for error reports.

/// Returns the byte offset of a line and column, both counted from 1 and the column in
/// bytes. A position beyond the end of the text maps to its end.
pub fn text_offset(text: &str, line: usize, column: usize) -> usize {
    let lines = text.split_inclusive('\n');
    let preceding_lines = lines.take(line.saturating_sub(1));
    let line_start: usize = preceding_lines.map(str::len).sum();
    (line_start + column.saturating_sub(1)).min(text.len())
}
