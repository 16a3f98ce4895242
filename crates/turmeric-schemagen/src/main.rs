//! Generates the committed code of the schema.
//!
//! `turmeric-schemagen` writes the code; `turmeric-schemagen --check` only
//! compares it with what is committed and fails when the two differ.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, ensure};

const PROTO_FILES: [&str; 3] = ["control.proto", "job.proto", "record.proto"];
const GENERATED_FILE: &str = "turmeric.v1.rs";

fn main() -> Result<()> {
    let is_check = std::env::args().any(|argument| argument == "--check");
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../turmeric-schema");
    let committed = schema.join("src/generated").join(GENERATED_FILE);
    let generated = generate(&schema)?;
    if is_check {
        let present = fs::read_to_string(&committed).wrap_err("reading the committed code")?;
        ensure!(
            present == generated,
            "the committed code differs from the schema; run cargo run -p turmeric-schemagen"
        );
        println!("the committed code is what the schema gives");
        return Ok(());
    }
    fs::write(&committed, generated).wrap_err("writing the generated code")
}

fn generate(schema: &Path) -> Result<String> {
    let proto = schema.join("proto");
    let descriptors = protox::compile(PROTO_FILES, [&proto]).wrap_err("reading the schema")?;
    let output = scratch_directory()?;
    prost_build::Config::new()
        .out_dir(&output)
        .compile_fds(descriptors)
        .wrap_err("generating code")?;
    let text = fs::read_to_string(output.join(GENERATED_FILE)).wrap_err("reading the result")?;
    fs::remove_dir_all(&output).wrap_err("removing the scratch directory")?;
    Ok(text)
}

fn scratch_directory() -> Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("turmeric-schemagen-{}", std::process::id()));
    fs::create_dir_all(&path).wrap_err("creating the scratch directory")?;
    Ok(path)
}
