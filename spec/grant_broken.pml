/* Variant of grant.pml in which a new owner issues grants without listening first. The checker must
 * reject it, because more than 2 * LIMIT requests run at the same time. */
#define BROKEN
#include "grant.pml"
