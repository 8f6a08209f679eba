//! Problems found in a file, each with its position, cause and remedy.

use std::fmt;
use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// Decides whether a file with the problem is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is accepted, but probably does not say what was meant.
    Warning,
    /// The file is rejected.
    Error,
}

/// One error or warning about a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Error or warning.
    pub severity: Severity,
    /// Byte range in the file that the problem refers to.
    pub span: Range<usize>,
    /// Cause of the problem.
    pub what: String,
    /// Advice on how to correct the file.
    pub remedy: String,
}

/// All problems of one file, printed as one report.
pub struct Problems {
    name: String,
    source: Box<NamedSource<String>>,
    problems: Vec<Problem>,
}

impl Problems {
    /// Creates a report on the file of this name and text; sorts the problems by position.
    pub fn new(name: &str, text: &str, mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|problem| (problem.span.start, problem.span.end));
        Self {
            name: name.to_owned(),
            source: Box::new(NamedSource::new(name, text.to_owned())),
            problems,
        }
    }

    /// Returns the problems in the order of their positions.
    pub fn list(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns true if any problem is an error.
    pub fn has_errors(&self) -> bool {
        let mut problems = self.problems.iter();
        problems.any(|problem| problem.severity == Severity::Error)
    }

    /// Returns the line at which a problem starts, counted from 1.
    pub fn line_number(&self, problem: &Problem) -> usize {
        let text = self.source.inner();
        let before = &text.as_bytes()[..problem.span.start.min(text.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }
}

impl fmt::Debug for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Problems")
            .field("name", &self.name)
            .field("problems", &self.problems)
            .finish()
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.problems.len();
        let plural = if count == 1 { "" } else { "s" };
        writeln!(formatter, "{}: {count} problem{plural}", self.name)?;
        for problem in &self.problems {
            let line = self.line_number(problem);
            writeln!(
                formatter,
                "line {line}: {}; {}",
                problem.what, problem.remedy
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

impl Diagnostic for Problems {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let labels = self.problems.iter().map(|problem| {
            let label = format!("{}; {}", problem.what, problem.remedy);
            LabeledSpan::new_with_span(Some(label), problem.span.clone())
        });
        Some(Box::new(labels))
    }
}
