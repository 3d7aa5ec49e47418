//! Stand-ins and scenarios of the cases in `review/`.
//!
//! `case NAME FOLDER` plays a case and writes `FOLDER/record.txt`, or `record-X.txt` for the case
//! `NUMBER-X`. It exits with 1 if the rule was
//! broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod store;
mod worker;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("worker") => worker::main(&arguments[1..]),
        Some("case") if arguments.len() == 3 => {
            let (name, folder) = (&arguments[1], Path::new(&arguments[2]));
            let record = match name.split_once('-') {
                Some((_, variant)) => format!("record-{variant}.txt"),
                None => "record.txt".to_owned(),
            };
            cases::run(name, &folder.join(record));
        }
        _ => {
            eprintln!("case NAME FOLDER");
            std::process::exit(2);
        }
    }
}
