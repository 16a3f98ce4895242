//! Limits of the store on what a leader writes.

/// Most bytes of the text of a row's value, unless the settings of a deployment have another
/// limit.
const ROW_BYTES: usize = 65_536;

/// Limits on one transaction.
///
/// The platform allows 100 rows and 1 MB in a call, and limits the text of each value. Values are
/// Base64, which takes four bytes of text for three.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreBounds {
    /// Most bytes of a value before it is encoded as text.
    pub value_bytes: usize,
    /// Most bytes of all values of a transaction. The names of the rows need room beside them.
    pub transaction_bytes: usize,
    /// Most rows that a transaction names, whether it writes, deletes or only expects them.
    pub transaction_rows: usize,
}

impl StoreBounds {
    /// Returns limits with at most `row_bytes` bytes in the text of a value.
    #[must_use]
    pub const fn with_row_bytes(self, row_bytes: usize) -> Self {
        Self {
            value_bytes: row_bytes / 4 * 3,
            ..self
        }
    }
}

impl Default for StoreBounds {
    fn default() -> Self {
        Self {
            value_bytes: 0,
            transaction_bytes: 600 << 10,
            transaction_rows: 100,
        }
        .with_row_bytes(ROW_BYTES)
    }
}
