//! docs/EVENTS.md lists exactly the events that the code defines.

use std::{collections::BTreeSet, path::Path};

use base::Event;
use googletest::prelude::*;

#[gtest]
fn events_page_matches_the_code() -> googletest::Result<()> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = std::fs::read_to_string(page)?;
    let rows = text.lines().filter_map(|line| {
        let mut cells = line.strip_prefix('|')?.split('|').map(str::trim);
        let code: u16 = cells.next()?.parse().ok()?;
        let (name, _level, text) = (cells.next()?, cells.next()?, cells.next()?);
        Some((code, name.to_owned(), text.to_owned()))
    });
    let listed: BTreeSet<_> = rows.collect();
    let known: BTreeSet<_> =
        Event::ALL.iter().map(|e| (e.code(), format!("{e:?}"), e.text().to_owned())).collect();
    expect_that!(listed, eq(&known));
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.code()).collect();
    expect_that!(numbers.len(), eq(Event::ALL.len()));
    Ok(())
}
