//! Writes the operators' pages that are generated from the code.

use std::{fs, path::PathBuf};

use anyhow::Context as _;
use clap::Parser;
use waxwing::pages::OperatorPage;

/// Writes the operators' pages that are generated from the code.
#[derive(Debug, Parser)]
#[command(version)]
struct PageArguments {
    /// The folder to write the pages to.
    #[arg(long, default_value = "docs/operations")]
    folder: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let arguments = PageArguments::parse();
    for page in OperatorPage::ALL {
        let file = arguments.folder.join(page.file());
        fs::write(&file, page.render()).with_context(|| file.display().to_string())?;
    }
    Ok(())
}
