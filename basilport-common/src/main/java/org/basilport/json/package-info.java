/** Reading of JSON of which a part may be unreadable. */
package org.basilport.json;
