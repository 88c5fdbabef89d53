/* The grants of grant.pml with a new owner that grants without listening first.
 * The checker must reject it: more than 2 * LIMIT requests run at once. */
#define BROKEN
#include "grant.pml"
