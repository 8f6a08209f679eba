//! Places in texts, for errors that show them.

/// The byte at which a line and column (both from 1 on, the column in bytes) stand; the
/// text's end where it is shorter.
pub fn text_offset(text: &str, line: usize, column: usize) -> usize {
    let lines = text.split_inclusive('\n');
    let before = lines.take(line.saturating_sub(1));
    let line_start: usize = before.map(str::len).sum();
    (line_start + column.saturating_sub(1)).min(text.len())
}
