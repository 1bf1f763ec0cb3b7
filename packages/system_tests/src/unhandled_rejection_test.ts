import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { expect } from "chai";

/** A program whose daemon runs work that nothing waits for, and that fails. */
const PROGRAM = `
  import { runProgram } from "@primroseshed/daemon";
  runProgram({
    defaultFile: "none",
    load: () => ({}),
    start: async () => ({
      stop() {},
      reload() {},
      reportError: (error) => console.log("reported: " + error.message),
      stopped: new Promise((resolve) => {
        Promise.reject(new Error("nobody waits for this"));
        setTimeout(resolve, 50);
      }),
    }),
  });
`;

describe("a daemon's process", () => {
  // Guards against the class of case 4 of the review (LOST): a rejected promise of an adapter ended the process.
  it("logs a rejected promise that nothing handles, and goes on", async () => {
    const { stdout } = await promisify(execFile)(
      process.execPath,
      ["--input-type=module", "--eval", PROGRAM],
      { cwd: import.meta.dirname },
    );
    expect(stdout).to.equal("reported: nobody waits for this\n");
  });
});
