/**
 * Generates deterministic responses: the same prompt gives the same words, so that a resumed stream can be checked word
 * by word.
 *
 * @module
 */
import { hashText } from "@primroseshed/core";

const WORDS =
  ("wrap the cloth over your left shoulder and across the back then tie it under the baby's bottom check " +
    "that knees are higher than hips and that the face stays in view now pour a thin film of water along the north " +
    "edge wait until it sets walk the hose back slowly and keep the nozzle low")
    .split(" ");

/** Returns the word at `offset` of the response to a prompt, with its leading space. */
export function wordAt(prompt: string, offset: number): string {
  const word = WORDS[hashText(`${prompt}\n${offset}`) % WORDS.length];
  return offset === 0 ? `${word}` : ` ${word}`;
}

/** Returns the length of the response to a prompt, words. */
export function responseLength(prompt: string, maxTokens: number): number {
  return Math.min(maxTokens, 12 + hashText(prompt) % 36);
}

/** Returns the whole response to a prompt. */
export function responseText(prompt: string, maxTokens: number): string {
  return Array.from(
    { length: responseLength(prompt, maxTokens) },
    (_, offset) => wordAt(prompt, offset),
  ).join("");
}
