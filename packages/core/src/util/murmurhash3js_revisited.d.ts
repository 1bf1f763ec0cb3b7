declare module "murmurhash3js-revisited" {
  const murmur: { x86: { hash32(bytes: Uint8Array, seed?: number): number } };
  export default murmur;
}
