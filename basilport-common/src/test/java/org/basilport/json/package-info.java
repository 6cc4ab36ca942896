/** Tests of reading JSON of which a part is unreadable. */
package org.basilport.json;
